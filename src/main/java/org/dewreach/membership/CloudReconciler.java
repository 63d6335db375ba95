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
 * Compares the cloud's list of machines with the cluster state: adds machines that the cluster
 * state lacks, and releases those that have failed or are no longer listed.
 *
 * <p>Without the list, a machine that the cloud removed would be kept until its worker's lease
 * expires, which each new leader measures from the start of its own term. The list is valid for
 * every leader immediately. It is not accepted as proof: the machine is released, and its tasks are
 * placed elsewhere once the cloud has confirmed the release or the lease has expired.
 */
final class CloudReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(CloudReconciler.class);

  /**
   * Listing a large fleet takes several calls, whose rate is limited to a low value, and heartbeats
   * already report most of the fleet.
   */
  private static final long MIN_LISTING_INTERVAL_MICROS = 5_000_000;

  /** The list may be up to this many times its lag old, by the most cautious reading of the lag. */
  private static final int MAX_LAG_FACTOR = 3;

  /** Covers delays and the difference between the wall clocks of two controllers. */
  private static final long LIST_AGE_MARGIN_MICROS = 2_000_000;

  private final ClusterState clusterState;
  private final MachineRegistry registry;
  private final CloudClient cloud;
  private final MachineTypeCatalog catalog;
  private final ScaleInExecutor scaleIn;
  private final FailureDetector failureDetector;
  private final long intervalMicros;
  private final long maxListAgeMicros;

  /**
   * Known machines that the latest pages covering their names omit although they should be listed.
   */
  private final Set<String> unlisted = new HashSet<>();

  private long listedAt = -1;
  private boolean requestInFlight;
  private long nextListingAt;
  private boolean closed;

  /** Creates a reconciler for one term. */
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

  /** Ignores all later responses of the cloud. */
  void close() {
    closed = true;
  }

  /**
   * Releases unlisted machines that are still silent, and starts to read the list if that is due.
   */
  void reconcile(long nowMicros) {
    releaseUnlisted(nowMicros);
    if (requestInFlight || nowMicros < nextListingAt || !cloud.mayCall(nowMicros)) {
      return;
    }
    nextListingAt = nowMicros + intervalMicros;
    requestPage(null, nowMicros);
  }

  /** The time at which the list was last read to its end, or -1. */
  long listedAt() {
    return listedAt;
  }

  /** The number of known machines that the list omits although it should contain them. */
  int unlistedMachines() {
    return unlisted.size();
  }

  private void requestPage(String afterMachine, long nowMicros) {
    requestInFlight = true;
    cloud.listMachines(
        nowMicros,
        afterMachine,
        (respondedAt, result) -> onPage(afterMachine, nowMicros, result, respondedAt));
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

  /**
   * True if even the oldest list that the cloud may return would contain the machine, unless it is
   * gone.
   */
  private boolean shouldBeListed(Machine machine, long requestedAt) {
    return machine.knownSince() < requestedAt - maxListAgeMicros;
  }

  private void releaseUnlisted(long nowMicros) {
    unlisted.retainAll(clusterState.machines().keySet());
    for (String name : unlisted) {
      Machine machine = clusterState.machines().get(name);
      // A machine that sends heartbeats is kept, even if it is not listed.
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
