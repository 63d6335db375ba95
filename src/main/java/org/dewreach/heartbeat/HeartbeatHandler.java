package org.dewreach.heartbeat;

import com.fasterxml.jackson.databind.node.ObjectNode;
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
import org.dewreach.wire.Codec;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Receives workers' reports: finds their machines, and sorts out late and repeated ones. */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  private final long term;
  private final Outbox outbox;
  private final ClusterState clusterState;
  private final MachineTypeCatalog catalog;
  private final FleetManager fleet;
  private final MachineRegistry registry;
  private final JobRecordWriter recordWriter;
  private final DirectCommandSender direct;
  private final BooleanSupplier closed;
  private final HeartbeatReconciler reports;

  /**
   * A receiver of one term.
   *
   * @param closed tells whether the term is over, which a write may find out at any time
   */
  public HeartbeatHandler(
      long term,
      Outbox outbox,
      ClusterState clusterState,
      MachineTypeCatalog catalog,
      FleetManager fleet,
      MachineRegistry registry,
      JobRecordWriter recordWriter,
      DirectCommandSender direct,
      BooleanSupplier closed) {
    this.term = term;
    this.outbox = outbox;
    this.clusterState = clusterState;
    this.catalog = catalog;
    this.fleet = fleet;
    this.registry = registry;
    this.recordWriter = recordWriter;
    this.direct = direct;
    this.closed = closed;
    this.reports = new HeartbeatReconciler(term, clusterState);
  }

  /** Takes a report and answers it; the caller has made sure that this term may do so. */
  public void take(long requestId, Heartbeat report, long nowMicros) {
    Machine machine = clusterState.machines().get(report.machine());
    if (machine == null) {
      machine = met(report, nowMicros);
      if (machine == null) {
        outbox.respond(requestId, 503, null);
        return;
      }
    }
    if (machine.phase() == MachinePhase.LOST && report.incarnation() <= machine.incarnation()) {
      // Held up on the way since before its lease was over.
      outbox.respond(requestId, 503, null);
      return;
    }
    if (!machine.isNewer(report.incarnation(), report.sequence())) {
      answerStale(requestId, machine, report, nowMicros);
      return;
    }
    registry.mark(machine, nowMicros);
    var response = reports.take(machine, report, true, nowMicros);
    machine.recordLeaseRenewal(nowMicros);
    outbox.respond(requestId, 200, response);
    pumpExited(report, nowMicros);
  }

  /** Answers a report that was held up on the way, or passed by the answer to a direct command. */
  private void answerStale(long requestId, Machine machine, Heartbeat report, long nowMicros) {
    if (report.token() == 0 && machine.reconciled()) {
      direct.askForCount(machine);
    }
    // Held up on the way, or passed by the answer to a direct command: nothing in it is news.
    if (fleet.isSilent(machine, nowMicros)) {
      // Only copies are left of it, or its worker restarted with an old count: an answer would
      // keep that alive without end.
      outbox.respond(requestId, 503, null);
      return;
    }
    // The worker may still wait for the answer, and its lease counts from the sending.
    machine.recordLeaseRenewal(nowMicros);
    outbox.respond(requestId, 200, noOrders());
  }

  private ObjectNode noOrders() {
    ObjectNode answer = Codec.map().put("warrant", term);
    answer.putArray("orders");
    return answer;
  }

  /** The answer to a direct command; it carries no orders back and extends no lease. */
  public void takeDirect(Machine machine, Heartbeat report, long nowMicros) {
    if (machine.phase() != MachinePhase.GONE
        && (machine.phase() != MachinePhase.LOST || report.incarnation() > machine.incarnation())
        && machine.isNewer(report.incarnation(), report.sequence())) {
      if (report.incarnation() > machine.incarnation()) {
        // Guards against taking the lease of this incarnation for over with that of the one before:
        // it
        // began without any answer of ours, at the latest now.
        machine.recordLeaseRenewal(nowMicros);
      }
      reports.take(machine, report, false, nowMicros);
      pumpExited(report, nowMicros);
    }
  }

  private void pumpExited(Heartbeat report, long nowMicros) {
    for (Heartbeat.TaskStatus task : report.tasks()) {
      if (task.state() == Heartbeat.TaskState.EXITED) {
        Job job = clusterState.jobs().get(task.name().jobId());
        if (job != null) {
          recordWriter.pump(job, nowMicros);
          if (closed.getAsBoolean()) {
            return;
          }
        }
      }
    }
  }

  /** A machine that nobody expected: a late rental, or one that the list does not show yet. */
  private Machine met(Heartbeat report, long nowMicros) {
    MachineType type = catalog.type(report.type());
    if (type == null || fleet.isReleased(report.machine())) {
      return null;
    }
    LOG.info("machine {} met through its report", report.machine());
    Machine machine =
        new Machine(
            report.machine(),
            report.address(),
            type,
            report.zone(),
            report.spot(),
            MachinePhase.BOOTING,
            nowMicros);
    machine.requireToken();
    clusterState.add(machine);
    return machine;
  }
}
