package org.dewreach.autoscaling;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dewreach.autoscaling.ScalingPlanner.Kind;
import org.dewreach.autoscaling.ScalingPlanner.Need;
import org.dewreach.autoscaling.ScalingPlanner.Rental;
import org.dewreach.cloud.CloudClient;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.scheduling.UnplacedTasks;
import org.dewreach.state.ClusterState;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.wire.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines for waiting tasks, and repeats requests whose outcome is not known. */
public final class ScaleOutExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOutExecutor.class);

  private static final int MAX_RENTAL_REQUESTS = 6;
  private static final int MAX_RENT_TRIES = 4;
  private static final long RETRY_DELAY_MICROS = 1_500_000;

  /** A rental request on its way. */
  private static final class RentalRequest {
    final String name;
    final Rental rental;
    int tries;
    long nextTryAt;
    boolean inFlight;

    RentalRequest(String name, Rental rental) {
      this.name = name;
      this.rental = rental;
    }
  }

  private final long term;
  private final ClusterState clusterState;
  private final MachineRegistry registry;
  private final CloudClient cloud;
  private final MachineTypeCatalog catalog;
  private final CapacityDemand demand;
  private final ScaleInExecutor scaleIn;
  private final ScalingPlanner planner = new ScalingPlanner();
  private final Map<String, RentalRequest> rentalRequests = new LinkedHashMap<>();
  private long lastRequest;
  private boolean closed;

  public ScaleOutExecutor(
      long term,
      ClusterState clusterState,
      MachineRegistry registry,
      CloudClient cloud,
      MachineTypeCatalog catalog,
      CapacityDemand demand,
      ScaleInExecutor scaleIn) {
    this.term = term;
    this.clusterState = clusterState;
    this.registry = registry;
    this.cloud = cloud;
    this.catalog = catalog;
    this.demand = demand;
    this.scaleIn = scaleIn;
  }

  /** Ignores all later answers of the cloud. */
  public void close() {
    closed = true;
  }

  /** Repeats requests that are due, then rents for what waits. Called once a round. */
  public void scaleOut(long nowMicros, List<UnplacedTasks> waiting) {
    retry(nowMicros);
    if (catalog.types().isEmpty() || rentalRequests.size() >= MAX_RENTAL_REQUESTS) {
      return;
    }
    List<Need> needs = demand.needs(waiting, nowMicros);
    if (needs.isEmpty()) {
      return;
    }
    List<Rental> rentals =
        planner.plan(
            needs,
            clusterState.machines().values(),
            requestedKinds(),
            catalog.types(),
            demand.longBacklog(waiting, nowMicros),
            nowMicros);
    for (Rental rental : rentals) {
      if (rentalRequests.size() < MAX_RENTAL_REQUESTS && cloud.mayCall(nowMicros)) {
        // The term makes the name unique among leaders, the counter within the term.
        RentalRequest request = new RentalRequest("dw-" + term + "-" + ++lastRequest, rental);
        rentalRequests.put(request.name, request);
        send(request, nowMicros);
      }
    }
  }

  private void retry(long nowMicros) {
    for (RentalRequest request : List.copyOf(rentalRequests.values())) {
      if (!request.inFlight && nowMicros >= request.nextTryAt && cloud.mayCall(nowMicros)) {
        send(request, nowMicros);
      }
    }
  }

  private List<Kind> requestedKinds() {
    List<Kind> kinds = new ArrayList<>();
    for (RentalRequest request : rentalRequests.values()) {
      kinds.addAll(Collections.nCopies(request.rental.count(), request.rental.kind()));
    }
    return kinds;
  }

  private void send(RentalRequest request, long nowMicros) {
    Rental rental = request.rental;
    Kind kind = rental.kind();
    request.inFlight = true;
    request.tries++;
    LOG.info(
        "renting {} {}{} in {} as {}",
        rental.count(),
        kind.spot() ? "spot " : "",
        kind.type().name(),
        kind.zone(),
        request.name);
    cloud.rent(
        nowMicros,
        request.name,
        kind.type().name(),
        kind.zone(),
        kind.spot(),
        rental.count(),
        (answeredAt, status, body) -> onAnswer(request, status, body, answeredAt));
  }

  private void onAnswer(RentalRequest request, int status, JsonNode body, long nowMicros) {
    if (closed) {
      return;
    }
    request.inFlight = false;
    if (status == HttpStatus.OK) {
      onRented(request, body, nowMicros);
    } else if (outcomeUnknown(status, body)) {
      // Carried out or not: the same name again gives the same machines.
      request.nextTryAt = nowMicros + RETRY_DELAY_MICROS;
      if (request.tries >= MAX_RENT_TRIES) {
        rentalRequests.remove(request.name);
      }
    } else {
      LOG.info("renting {} refused: {}", request.name, status);
      planner.refused(request.rental.kind(), nowMicros);
      rentalRequests.remove(request.name);
    }
  }

  private static boolean outcomeUnknown(int status, JsonNode body) {
    boolean trouble = body != null && "trouble".equals(body.path("error").asText());
    return status == HttpStatus.UNAVAILABLE && trouble
        || status == HttpStatus.TOO_MANY_REQUESTS
        || status == 0;
  }

  private void onRented(RentalRequest request, JsonNode body, long nowMicros) {
    rentalRequests.remove(request.name);
    Kind kind = request.rental.kind();
    int count = 0;
    for (JsonNode host : body.path("hosts")) {
      count++;
      addRented(host.asText(), kind, nowMicros);
    }
    LOG.info("rented {} of {} as {}", count, request.rental.count(), request.name);
    if (count < request.rental.count()) {
      planner.refused(kind, nowMicros);
    } else {
      planner.granted(kind);
    }
  }

  private void addRented(String name, Kind kind, long nowMicros) {
    if (!clusterState.machines().containsKey(name) && !scaleIn.isReleased(name)) {
      Machine machine =
          new Machine(
              name, "", kind.type(), kind.zone(), kind.spot(), MachinePhase.BOOTING, nowMicros);
      clusterState.add(machine);
      registry.note(machine, nowMicros);
    }
  }
}
