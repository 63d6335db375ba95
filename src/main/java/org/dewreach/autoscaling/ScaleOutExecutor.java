package org.dewreach.autoscaling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dewreach.cloud.CloudClient;
import org.dewreach.cloud.RentalRequest;
import org.dewreach.cloud.RentalResult;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.scheduling.UnplacedTasks;
import org.dewreach.state.ClusterState;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.MachineTypeCatalog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines for unplaced tasks, and retries requests whose outcome is unknown. */
public final class ScaleOutExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOutExecutor.class);

  private static final int MAX_OPEN_REQUESTS = 6;
  private static final int MAX_ATTEMPTS = 4;
  private static final long RETRY_DELAY_MICROS = 1_500_000;

  /** A rental request whose outcome is not known yet. */
  private static final class OpenRequest {
    final String name;
    final Rental rental;
    int attempts;
    long nextAttemptAt;
    boolean inFlight;

    OpenRequest(String name, Rental rental) {
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
  private final Map<String, OpenRequest> openRequests = new LinkedHashMap<>();
  private long lastRequestNumber;
  private boolean closed;

  /** Creates the executor of one term. */
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

  /** Closes the executor; later responses of the cloud are ignored. */
  public void close() {
    closed = true;
  }

  /**
   * Retries requests that are due, then rents machines for the unplaced tasks. Called once per
   * round.
   */
  public void scaleOut(long nowMicros, List<UnplacedTasks> unplaced) {
    retryDueRequests(nowMicros);
    if (catalog.types().isEmpty() || openRequests.size() >= MAX_OPEN_REQUESTS) {
      return;
    }
    List<CapacityRequirement> requirements = demand.requirements(unplaced, nowMicros);
    if (requirements.isEmpty()) {
      return;
    }
    List<Rental> rentals =
        planner.plan(
            requirements,
            clusterState.machines().values(),
            requestedPools(),
            catalog.types(),
            demand.hasLongBacklog(unplaced, nowMicros),
            nowMicros);
    for (Rental rental : rentals) {
      if (openRequests.size() < MAX_OPEN_REQUESTS && cloud.mayCall(nowMicros)) {
        send(newRequest(rental), nowMicros);
      }
    }
  }

  private OpenRequest newRequest(Rental rental) {
    // The term makes the name unique across leaders, the counter makes it unique within the term.
    String name = "dw-" + term + "-" + ++lastRequestNumber;
    OpenRequest request = new OpenRequest(name, rental);
    openRequests.put(name, request);
    return request;
  }

  private void retryDueRequests(long nowMicros) {
    for (OpenRequest request : List.copyOf(openRequests.values())) {
      if (!request.inFlight && nowMicros >= request.nextAttemptAt && cloud.mayCall(nowMicros)) {
        send(request, nowMicros);
      }
    }
  }

  /** Returns the pool of each machine that is requested and not rented yet. */
  private List<MachinePool> requestedPools() {
    List<MachinePool> pools = new ArrayList<>();
    for (OpenRequest request : openRequests.values()) {
      pools.addAll(Collections.nCopies(request.rental.count(), request.rental.pool()));
    }
    return pools;
  }

  private void send(OpenRequest request, long nowMicros) {
    MachinePool pool = request.rental.pool();
    request.inFlight = true;
    request.attempts++;
    LOG.info(
        "scale out requested: request={} attempt={} count={} type={} zone={} spot={}",
        request.name,
        request.attempts,
        request.rental.count(),
        pool.type().name(),
        pool.zone(),
        pool.spot());
    RentalRequest rentalRequest =
        new RentalRequest(
            request.name, pool.type().name(), pool.zone(), pool.spot(), request.rental.count());
    cloud.rent(
        nowMicros, rentalRequest, (respondedAt, result) -> onResult(request, result, respondedAt));
  }

  private void onResult(OpenRequest request, RentalResult result, long nowMicros) {
    if (closed) {
      return;
    }
    request.inFlight = false;
    if (result instanceof RentalResult.Rented rented) {
      onRented(request, rented, nowMicros);
    } else if (result instanceof RentalResult.Refused refused) {
      LOG.info("scale out refused: request={} status={}", request.name, refused.status());
      planner.onRefused(request.rental.pool(), nowMicros);
      openRequests.remove(request.name);
    } else {
      onUnknownOutcome(request, nowMicros);
    }
  }

  private void onUnknownOutcome(OpenRequest request, long nowMicros) {
    // The request may have been executed; a retry under the same name returns the same machines.
    request.nextAttemptAt = nowMicros + RETRY_DELAY_MICROS;
    if (request.attempts >= MAX_ATTEMPTS) {
      openRequests.remove(request.name);
    }
  }

  private void onRented(OpenRequest request, RentalResult.Rented rented, long nowMicros) {
    openRequests.remove(request.name);
    MachinePool pool = request.rental.pool();
    for (String name : rented.machines()) {
      addRented(name, pool, nowMicros);
    }
    int count = rented.machines().size();
    LOG.info(
        "scale out completed: request={} requested={} rented={}",
        request.name,
        request.rental.count(),
        count);
    if (count < request.rental.count()) {
      planner.onRefused(pool, nowMicros);
    } else {
      planner.onFulfilled(pool);
    }
  }

  private void addRented(String name, MachinePool pool, long nowMicros) {
    // Before this response arrived, the worker of the machine may have sent a heartbeat, or the
    // machine may have been released.
    if (clusterState.machines().containsKey(name) || scaleIn.isReleased(name)) {
      return;
    }
    Machine machine =
        new Machine(
            name, "", pool.type(), pool.zone(), pool.spot(), MachinePhase.BOOTING, nowMicros);
    clusterState.addMachine(machine);
    registry.register(machine, nowMicros);
  }
}
