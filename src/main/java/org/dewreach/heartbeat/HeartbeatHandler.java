package org.dewreach.heartbeat;

import java.util.function.BooleanSupplier;
import org.dewreach.membership.FleetManager;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.port.Outbox;
import org.dewreach.state.ClusterState;
import org.dewreach.state.JobRecordWriter;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.HeartbeatResponse;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives workers' heartbeats: looks up their machines, and handles late and repeated heartbeats
 * separately.
 */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  private final long term;
  private final Outbox outbox;
  private final ClusterState clusterState;
  private final MachineTypeCatalog catalog;
  private final FleetManager fleet;
  private final MachineRegistry registry;
  private final JobRecordWriter recordWriter;
  private final BooleanSupplier closed;
  private final RestartProbe restartProbe;
  private final HeartbeatReconciler reconciler;

  /**
   * Creates a handler for one term.
   *
   * @param closed returns true once the term is over, which a write may detect at any time
   */
  public HeartbeatHandler(
      long term,
      Outbox outbox,
      ClusterState clusterState,
      MachineTypeCatalog catalog,
      FleetManager fleet,
      MachineRegistry registry,
      JobRecordWriter recordWriter,
      BooleanSupplier closed) {
    this.term = term;
    this.outbox = outbox;
    this.clusterState = clusterState;
    this.catalog = catalog;
    this.fleet = fleet;
    this.registry = registry;
    this.recordWriter = recordWriter;
    this.closed = closed;
    this.restartProbe = new RestartProbe(new WorkerClient(outbox), closed);
    this.reconciler = new HeartbeatReconciler(term, clusterState);
  }

  /** Processes a heartbeat and responds to it; the caller has ensured that this term may do so. */
  public void onHeartbeat(long requestId, Heartbeat heartbeat, long nowMicros) {
    Machine machine = clusterState.machines().get(heartbeat.machine());
    if (machine == null) {
      machine = addUnexpectedMachine(heartbeat, nowMicros);
    }
    if (machine == null || isFromExpiredIncarnation(machine, heartbeat)) {
      reject(requestId);
      return;
    }
    if (!machine.heartbeats().isNewer(heartbeat.incarnation(), heartbeat.sequence())) {
      onStaleHeartbeat(requestId, machine, heartbeat, nowMicros);
      return;
    }
    registry.registerForCommands(machine, nowMicros);
    HeartbeatResponse response = reconciler.onHeartbeat(machine, heartbeat, nowMicros);
    respond(requestId, machine, response, nowMicros);
    recordExits(heartbeat, nowMicros);
  }

  /**
   * True if the heartbeat was delayed on its way since before the lease of its incarnation expired.
   */
  private static boolean isFromExpiredIncarnation(Machine machine, Heartbeat heartbeat) {
    return machine.phase() == MachinePhase.LOST
        && heartbeat.incarnation() <= machine.heartbeats().incarnation();
  }

  /**
   * Responds to a heartbeat that was delayed on its way, or overtaken by the reply to a direct
   * command. It contains nothing new.
   */
  private void onStaleHeartbeat(
      long requestId, Machine machine, Heartbeat heartbeat, long nowMicros) {
    if (heartbeat.token() == 0 && machine.reconciled()) {
      restartProbe.probe(machine);
    }
    if (fleet.isSilent(machine, nowMicros)) {
      // Only late copies of its heartbeats arrive, or its worker restarted with an old sequence
      // number: a response would keep such a worker alive forever.
      reject(requestId);
      return;
    }
    // The worker may still be waiting for the response.
    respond(requestId, machine, HeartbeatResponse.withoutCommands(term), nowMicros);
  }

  private void reject(long requestId) {
    outbox.respond(requestId, HttpStatus.UNAVAILABLE, null);
  }

  private void respond(
      long requestId, Machine machine, HeartbeatResponse response, long nowMicros) {
    // The worker's lease starts with this response at the latest.
    machine.heartbeats().recordLeaseRenewal(nowMicros);
    outbox.respond(requestId, HttpStatus.OK, response.toNode());
  }

  /**
   * Processes the state with which a worker replied to a direct command. This renews no lease, and
   * no commands are sent back.
   */
  public void onDirectReply(Machine machine, Heartbeat heartbeat, long nowMicros) {
    if (machine.phase() == MachinePhase.GONE
        || isFromExpiredIncarnation(machine, heartbeat)
        || !machine.heartbeats().isNewer(heartbeat.incarnation(), heartbeat.sequence())) {
      return;
    }
    if (heartbeat.incarnation() > machine.heartbeats().incarnation()) {
      // Guards against treating the lease of this incarnation as expired together with that of
      // the previous one: the incarnation began without any response from this leader, at the
      // latest
      // now.
      machine.heartbeats().recordLeaseRenewal(nowMicros);
    }
    reconciler.onDirectReply(machine, heartbeat, nowMicros);
    recordExits(heartbeat, nowMicros);
  }

  /** Writes the records of the jobs whose tasks have exited, where a write is due. */
  private void recordExits(Heartbeat heartbeat, long nowMicros) {
    for (Heartbeat.TaskStatus task : heartbeat.tasks()) {
      Job job = clusterState.jobs().get(task.name().jobId());
      if (task.state() == Heartbeat.TaskState.EXITED && job != null) {
        recordWriter.writeIfDue(job, nowMicros);
        if (closed.getAsBoolean()) {
          return;
        }
      }
    }
  }

  /**
   * Adds a machine that is not in the cluster state: it was rented late, or the cloud does not list
   * it yet.
   *
   * @return null if its type is unknown, or the machine is known to have been released
   */
  private Machine addUnexpectedMachine(Heartbeat heartbeat, long nowMicros) {
    MachineType type = catalog.type(heartbeat.type());
    if (type == null || fleet.isReleased(heartbeat.machine())) {
      return null;
    }
    LOG.info("unexpected machine found by its heartbeat: machine={}", heartbeat.machine());
    Machine machine =
        new Machine(
            heartbeat.machine(),
            heartbeat.address(),
            type,
            heartbeat.zone(),
            heartbeat.spot(),
            MachinePhase.BOOTING,
            nowMicros);
    machine.requireToken();
    clusterState.addMachine(machine);
    return machine;
  }
}
