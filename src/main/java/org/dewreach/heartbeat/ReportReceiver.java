package org.dewreach.heartbeat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.BooleanSupplier;
import org.dewreach.membership.FleetManager;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.port.Calls;
import org.dewreach.state.ClusterState;
import org.dewreach.state.FleetRegister;
import org.dewreach.state.JobRecordWriter;
import org.dewreach.state.MachineCatalog;
import org.dewreach.wire.Codec;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Receives workers' reports: finds their machines, and sorts out late and repeated ones. */
public final class ReportReceiver {
  private static final Logger LOG = LoggerFactory.getLogger(ReportReceiver.class);

  private final long term;
  private final Calls calls;
  private final ClusterState clusterState;
  private final MachineCatalog catalog;
  private final FleetManager fleet;
  private final FleetRegister register;
  private final JobRecordWriter recordWriter;
  private final DirectCommandSender direct;
  private final BooleanSupplier closed;
  private final ReportHandler reports;

  /**
   * A receiver of one term.
   *
   * @param closed tells whether the term is over, which a write may find out at any time
   */
  public ReportReceiver(
      long term,
      Calls calls,
      ClusterState clusterState,
      MachineCatalog catalog,
      FleetManager fleet,
      FleetRegister register,
      JobRecordWriter recordWriter,
      DirectCommandSender direct,
      BooleanSupplier closed) {
    this.term = term;
    this.calls = calls;
    this.clusterState = clusterState;
    this.catalog = catalog;
    this.fleet = fleet;
    this.register = register;
    this.recordWriter = recordWriter;
    this.direct = direct;
    this.closed = closed;
    this.reports = new ReportHandler(term, clusterState);
  }

  /** Takes a report and answers it; the caller has made sure that this term may do so. */
  public void take(long requestId, WorkerReport report, long nowMicros) {
    Machine machine = clusterState.machines().get(report.machine());
    if (machine == null) {
      machine = met(report, nowMicros);
      if (machine == null) {
        calls.respond(requestId, 503, null);
        return;
      }
    }
    if (machine.phase() == MachinePhase.LOST && report.session() <= machine.session()) {
      // Held up on the way since before its lease was over.
      calls.respond(requestId, 503, null);
      return;
    }
    if (!machine.isNewer(report.session(), report.sequence())) {
      answerStale(requestId, machine, report, nowMicros);
      return;
    }
    register.mark(machine, nowMicros);
    var response = reports.take(machine, report, true, nowMicros);
    machine.answered(nowMicros);
    calls.respond(requestId, 200, response);
    pumpExited(report, nowMicros);
  }

  /** Answers a report that was held up on the way, or passed by the answer to a direct command. */
  private void answerStale(long requestId, Machine machine, WorkerReport report, long nowMicros) {
    if (report.token() == 0 && machine.accountedFor()) {
      direct.askForCount(machine);
    }
    // Held up on the way, or passed by the answer to a direct command: nothing in it is news.
    if (fleet.isSilent(machine, nowMicros)) {
      // Only copies are left of it, or its worker restarted with an old count: an answer would
      // keep that alive without end.
      calls.respond(requestId, 503, null);
      return;
    }
    // The worker may still wait for the answer, and its lease counts from the sending.
    machine.answered(nowMicros);
    calls.respond(requestId, 200, noOrders());
  }

  private ObjectNode noOrders() {
    ObjectNode answer = Codec.map().put("warrant", term);
    answer.putArray("orders");
    return answer;
  }

  /** The answer to a direct command; it carries no orders back and extends no lease. */
  public void takeDirect(Machine machine, WorkerReport report, long nowMicros) {
    if (machine.phase() != MachinePhase.GONE
        && (machine.phase() != MachinePhase.LOST || report.session() > machine.session())
        && machine.isNewer(report.session(), report.sequence())) {
      if (report.session() > machine.session()) {
        // Guards against taking the lease of this session for over with that of the one before: it
        // began without any answer of ours, at the latest now.
        machine.answered(nowMicros);
      }
      reports.take(machine, report, false, nowMicros);
      pumpExited(report, nowMicros);
    }
  }

  private void pumpExited(WorkerReport report, long nowMicros) {
    for (WorkerReport.ReportedTask task : report.tasks()) {
      if (task.state() == WorkerReport.TaskState.EXITED) {
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
  private Machine met(WorkerReport report, long nowMicros) {
    MachineType type = catalog.type(report.type());
    if (type == null || fleet.isGone(report.machine())) {
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
    machine.toProve();
    clusterState.add(machine);
    return machine;
  }
}
