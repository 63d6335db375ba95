package org.dewreach.membership;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.autoscaling.ScaleInExecutor;
import org.dewreach.cloud.CloudClient;
import org.dewreach.config.Settings;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.state.ClusterState;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.ListedMachine;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the cloud's list of machines, to find unknown and failed ones. */
final class CloudReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(CloudReconciler.class);

  /**
   * A large fleet takes several calls of a small rate to list; reports tell most of it. A default
   * of this project.
   */
  private static final long LIST_INTERVAL_MICROS = 5_000_000;

  private final ClusterState clusterState;
  private final MachineRegistry registry;
  private final CloudClient cloud;
  private final MachineTypeCatalog catalog;
  private final Settings settings;
  private final ScaleInExecutor scaleIn;
  private boolean inFlight;
  private long nextListAt;
  private boolean closed;

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
    this.settings = settings;
    this.scaleIn = scaleIn;
  }

  /** Ignores all later answers of the cloud. */
  void close() {
    closed = true;
  }

  /** Begins to read the list when it is due and no call is in flight. */
  void reconcile(long nowMicros) {
    if (inFlight || nowMicros < nextListAt || !cloud.mayCall(nowMicros)) {
      return;
    }
    nextListAt = nowMicros + Math.max(LIST_INTERVAL_MICROS, settings.cloudLimits().listLagMicros());
    requestPage(null, nowMicros);
  }

  private void requestPage(String after, long nowMicros) {
    inFlight = true;
    cloud.list(nowMicros, after, (answeredAt, status, body) -> onPage(status, body, answeredAt));
  }

  private void onPage(int status, JsonNode body, long nowMicros) {
    if (closed) {
      return;
    }
    inFlight = false;
    if (status != HttpStatus.OK) {
      return;
    }
    try {
      ListedMachine.Page page = ListedMachine.parsePage(body);
      page.machines().forEach(machine -> onListed(machine, nowMicros));
      if (page.more() && !page.machines().isEmpty()) {
        requestPage(page.machines().get(page.machines().size() - 1).name(), nowMicros);
      }
    } catch (MalformedException e) {
      LOG.error("machine list not understood: {}", e.getMessage());
    }
  }

  private void onListed(ListedMachine listed, long nowMicros) {
    if (scaleIn.isReleased(listed.name())) {
      return;
    }
    Machine machine = clusterState.machines().get(listed.name());
    if (machine == null) {
      MachineType type = catalog.type(listed.type());
      if (type == null) {
        return;
      }
      machine = addListed(listed, type, nowMicros);
    }
    if (listed.failed() && machine.phase() != MachinePhase.TERMINATING) {
      clusterState.unbindAll(machine, "it failed", nowMicros);
      scaleIn.markForRelease(machine, "failed", nowMicros);
    }
  }

  private Machine addListed(ListedMachine listed, MachineType type, long nowMicros) {
    LOG.info("machine {} found in the list", listed.name());
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
    clusterState.add(machine);
    registry.note(machine, nowMicros);
    return machine;
  }
}
