package org.dewreach.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dewreach.autoscaling.ScaleInExecutor;
import org.dewreach.cloud.CloudClient;
import org.dewreach.cloud.CloudFailure;
import org.dewreach.cloud.MachineListResult;
import org.dewreach.config.Settings;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.state.ClusterState;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.wire.ListedMachine;
import org.dewreach.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares the cloud's list of machines with the cluster state: adds machines that are unknown here
 * and releases those that have failed or are listed no more.
 *
 * <p>A machine that the cloud took away would otherwise be waited for until its worker's lease has
 * expired, and each new leader counts that anew. What the list says holds for every leader at once.
 * It is not taken for proof: the machine is released, and its tasks are placed elsewhere once the
 * cloud has confirmed that or the lease has expired.
 */
final class CloudReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(CloudReconciler.class);

  /**
   * A large fleet takes several calls of a small rate to list; heartbeats tell most of it. A
   * default of this project.
   */
  private static final long MIN_LISTING_INTERVAL_MICROS = 5_000_000;

  /** The list may describe a time this many times its lag ago, read the most cautious way. */
  private static final int MAX_LAG_FACTOR = 3;

  /** For delays, and for what the times of day of two controllers may differ by. */
  private static final long LIST_AGE_MARGIN_MICROS = 2_000_000;

  private final ClusterState clusterState;
  private final MachineRegistry registry;
  private final CloudClient cloud;
  private final MachineTypeCatalog catalog;
  private final ScaleInExecutor scaleIn;
  private final FailureDetector failureDetector;
  private final long intervalMicros;
  private final long maxListAgeMicros;

  /** Machines that are gone, as the last pages that cover them tell. */
  private final Set<String> unlisted = new HashSet<>();

  private long listedAt = -1;
  private boolean requestInFlight;
  private long nextListingAt;
  private boolean closed;

  /** A reconciler of one term. */
  CloudReconciler(
      ClusterState clusterState,
      MachineRegistry registry,
      CloudClient cloud,
      MachineTypeCatalog catalog,
      Settings settings,
      ScaleInExecutor scaleIn,
      FailureDetector failureDetector) {
    this.clusterState = clusterState;
    this.registry = registry;
    this.cloud = cloud;
    this.catalog = catalog;
    this.scaleIn = scaleIn;
    this.failureDetector = failureDetector;
    long lagMicros = settings.cloudLimits().listLagMicros();
    this.intervalMicros = Math.max(MIN_LISTING_INTERVAL_MICROS, lagMicros);
    this.maxListAgeMicros = MAX_LAG_FACTOR * lagMicros + LIST_AGE_MARGIN_MICROS;
  }

  /** Ignores all later answers of the cloud. */
  void close() {
    closed = true;
  }

  /** Begins to read the list when it is due, and releases what it lacked and is still silent. */
  void reconcile(long nowMicros) {
    releaseUnlisted(nowMicros);
    if (requestInFlight || nowMicros < nextListingAt || !cloud.mayCall(nowMicros)) {
      return;
    }
    nextListingAt = nowMicros + intervalMicros;
    requestPage(null, nowMicros);
  }

  /** When the list was last read to its end, or -1. */
  long listedAt() {
    return listedAt;
  }

  /** How many known machines the list lacked although it should have them. */
  int unlistedMachines() {
    return unlisted.size();
  }

  private void requestPage(String afterMachine, long nowMicros) {
    requestInFlight = true;
    cloud.listMachines(
        nowMicros,
        afterMachine,
        (answeredAt, result) -> onPage(afterMachine, nowMicros, result, answeredAt));
  }

  private void onPage(
      String afterMachine, long requestedAt, MachineListResult result, long nowMicros) {
    if (closed) {
      return;
    }
    requestInFlight = false;
    if (result instanceof MachineListResult.Page page) {
      reconcilePage(page, nowMicros);
      recordListed(ListedRange.of(afterMachine, page), requestedAt);
      requestNextPage(page, nowMicros);
    } else if (result instanceof CloudFailure failure && failure.decodingFailed()) {
      LOG.error("machine list malformed: cause=\"{}\"", failure.decodingError());
    }
  }

  private void reconcilePage(MachineListResult.Page page, long nowMicros) {
    page.machines().forEach(listed -> reconcileMachine(listed, nowMicros));
  }

  private void requestNextPage(MachineListResult.Page page, long nowMicros) {
    if (!page.more()) {
      listedAt = nowMicros;
    }
    List<ListedMachine> machines = page.machines();
    if (page.more() && !machines.isEmpty()) {
      requestPage(machines.get(machines.size() - 1).name(), nowMicros);
    }
  }

  private void recordListed(ListedRange range, long requestedAt) {
    unlisted.removeAll(range.names());
    for (Machine machine : clusterState.machines().values()) {
      if (range.omits(machine.name()) && shouldBeListed(machine, requestedAt)) {
        unlisted.add(machine.name());
      }
    }
  }

  /** True if the oldest list that the cloud may answer with had the machine, unless it was gone. */
  private boolean shouldBeListed(Machine machine, long requestedAt) {
    return machine.knownSince() < requestedAt - maxListAgeMicros;
  }

  private void releaseUnlisted(long nowMicros) {
    unlisted.retainAll(clusterState.machines().keySet());
    for (String name : unlisted) {
      Machine machine = clusterState.machines().get(name);
      // One that sends heartbeats is kept, whatever the list says.
      if (machine.phase() != MachinePhase.TERMINATING
          && failureDetector.missedHeartbeat(machine, nowMicros)) {
        scaleIn.markForRelease(machine, "no longer listed", nowMicros);
      }
    }
  }

  private void reconcileMachine(ListedMachine listed, long nowMicros) {
    if (scaleIn.isReleased(listed.name())) {
      return;
    }
    Machine machine = clusterState.machines().get(listed.name());
    if (machine == null) {
      MachineType type = catalog.type(listed.type());
      if (type == null) {
        return;
      }
      machine = addUnknown(listed, type, nowMicros);
    }
    if (listed.failed() && machine.phase() != MachinePhase.TERMINATING) {
      clusterState.unbindAll(machine, "machine failed", nowMicros);
      scaleIn.markForRelease(machine, "failed", nowMicros);
    }
  }

  private Machine addUnknown(ListedMachine listed, MachineType type, long nowMicros) {
    LOG.info("machine found in the cloud's list: machine={}", listed.name());
    Machine machine =
        new Machine(
            listed.name(),
            listed.address(),
            type,
            listed.zone(),
            listed.spot(),
            MachinePhase.BOOTING,
            nowMicros);
    machine.knownSince(nowMicros - listed.ageMicros());
    clusterState.addMachine(machine);
    registry.register(machine, nowMicros);
    return machine;
  }
}
