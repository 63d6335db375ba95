package org.dewreach.membership;

import java.util.List;
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
 * and releases those that have failed.
 */
final class CloudReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(CloudReconciler.class);

  /**
   * A large fleet takes several calls of a small rate to list; heartbeats tell most of it. A
   * default of this project.
   */
  private static final long MIN_INTERVAL_MICROS = 5_000_000;

  private final ClusterState clusterState;
  private final MachineRegistry registry;
  private final CloudClient cloud;
  private final MachineTypeCatalog catalog;
  private final ScaleInExecutor scaleIn;
  private final long intervalMicros;
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
      ScaleInExecutor scaleIn) {
    this.clusterState = clusterState;
    this.registry = registry;
    this.cloud = cloud;
    this.catalog = catalog;
    this.scaleIn = scaleIn;
    this.intervalMicros = Math.max(MIN_INTERVAL_MICROS, settings.cloudLimits().listLagMicros());
  }

  /** Ignores all later answers of the cloud. */
  void close() {
    closed = true;
  }

  /** Begins to read the list when it is due and no request is in flight. */
  void reconcile(long nowMicros) {
    if (requestInFlight || nowMicros < nextListingAt || !cloud.mayCall(nowMicros)) {
      return;
    }
    nextListingAt = nowMicros + intervalMicros;
    requestPage(null, nowMicros);
  }

  private void requestPage(String afterMachine, long nowMicros) {
    requestInFlight = true;
    cloud.listMachines(nowMicros, afterMachine, (answeredAt, result) -> onPage(result, answeredAt));
  }

  private void onPage(MachineListResult result, long nowMicros) {
    if (closed) {
      return;
    }
    requestInFlight = false;
    if (result instanceof MachineListResult.Page page) {
      reconcilePage(page, nowMicros);
    } else if (result instanceof CloudFailure failure && failure.decodingFailed()) {
      LOG.error("machine list malformed: cause=\"{}\"", failure.decodingError());
    }
  }

  private void reconcilePage(MachineListResult.Page page, long nowMicros) {
    List<ListedMachine> machines = page.machines();
    machines.forEach(listed -> reconcileMachine(listed, nowMicros));
    if (page.more() && !machines.isEmpty()) {
      requestPage(machines.get(machines.size() - 1).name(), nowMicros);
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
