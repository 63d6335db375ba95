package org.dewreach.heartbeat;

import java.util.List;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.HeartbeatResponse;
import org.dewreach.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the cluster state with a worker's heartbeat, and responds with the commands that are
 * needed.
 *
 * <p>A worker has one heartbeat in flight and drops a response after 4 s, so its next heartbeat
 * shows with certainty whether the commands of a response were executed. {@link
 * DirectCommandSender} describes what holds for commands sent directly.
 */
final class HeartbeatReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

  private static final long MICROS_PER_MS = 1_000;

  private final long term;
  private final ClusterState clusterState;
  private final ResponseLossDetector responseLoss;
  private final TaskReconciler tasks;

  HeartbeatReconciler(long term, ClusterState clusterState) {
    this.term = term;
    this.clusterState = clusterState;
    this.responseLoss = new ResponseLossDetector(term, clusterState);
    this.tasks = new TaskReconciler(clusterState);
  }

  /**
   * Processes a heartbeat that is newer than the last report of its machine, and returns the
   * response.
   */
  HeartbeatResponse onHeartbeat(Machine machine, Heartbeat heartbeat, long nowMicros) {
    boolean first = machine.heartbeats().incarnation() < 0;
    boolean newIncarnation = beginsNewIncarnation(machine, heartbeat);
    long previousHeartbeatMicros = machine.heartbeats().lastHeartbeat();
    WorkerReport report = recordReport(machine, heartbeat, ReportSource.HEARTBEAT, nowMicros);
    if (!first) {
      responseLoss.onHeartbeat(report, newIncarnation, previousHeartbeatMicros);
    }
    CommandBatch commands = reconcile(report);
    if (!machine.commandable()) {
      return HeartbeatResponse.withoutCommands(term);
    }
    List<WorkerCommand> sent = commands.forResponse(report.freshness());
    sent.forEach(command -> onSent(machine, command, nowMicros));
    return new HeartbeatResponse(term, sent);
  }

  /** Processes the reply to a direct command that is newer than the last report of its machine. */
  void onDirectReply(Machine machine, Heartbeat heartbeat, long nowMicros) {
    // Commands that it requires are left to the response to the next heartbeat.
    reconcile(recordReport(machine, heartbeat, ReportSource.DIRECT_REPLY, nowMicros));
  }

  private static boolean beginsNewIncarnation(Machine machine, Heartbeat heartbeat) {
    return machine.heartbeats().incarnation() >= 0
        && heartbeat.incarnation() > machine.heartbeats().incarnation();
  }

  /** Updates the state of the machine itself, and determines what the report proves. */
  private WorkerReport recordReport(
      Machine machine, Heartbeat heartbeat, ReportSource source, long nowMicros) {
    if (beginsNewIncarnation(machine, heartbeat)) {
      clusterState.unbindAll(
          machine, "worker began incarnation " + heartbeat.incarnation(), nowMicros);
    }
    machine.recordSequence(heartbeat.incarnation(), heartbeat.sequence());
    if (source == ReportSource.HEARTBEAT) {
      machine.heartbeats().recordHeartbeat(nowMicros);
    }
    machine.address(heartbeat.address());
    WorkerReport report = WorkerReport.of(machine, heartbeat, source, term, nowMicros);
    if (report.isCurrent()) {
      machine.markReconciled();
    }
    return report;
  }

  private CommandBatch reconcile(WorkerReport report) {
    updatePhase(report);
    updateReclaimTime(report);
    return tasks.reconcile(report);
  }

  private void updatePhase(WorkerReport report) {
    Machine machine = report.machine();
    switch (machine.phase()) {
      case BOOTING, UNKNOWN, UNCONFIRMED, LOST -> {
        MachinePhase next = report.isCurrent() ? MachinePhase.UP : MachinePhase.UNCONFIRMED;
        if (machine.phase() != next) {
          clusterState.changePhase(machine, next, "heartbeat", report.nowMicros());
        }
      }
      case UP, DRAINING, TERMINATING, GONE -> {
        // not changed by a heartbeat
      }
    }
  }

  private static void updateReclaimTime(WorkerReport report) {
    Machine machine = report.machine();
    long reclaimMicros = report.heartbeat().reclaimMicros();
    if (reclaimMicros >= 0 && machine.reclaimAt() < 0) {
      LOG.info(
          "machine reclaim announced: machine={} in_ms={}",
          machine.name(),
          reclaimMicros / MICROS_PER_MS);
      machine.reclaimAt(report.nowMicros() + reclaimMicros);
    }
  }

  private static void onSent(Machine machine, WorkerCommand command, long nowMicros) {
    LOG.debug("command sent: machine={} command={}", machine.name(), command);
    if (command instanceof WorkerCommand.Start) {
      Task task = machine.task(command.task());
      if (task.phase() == TaskPhase.ASSIGNED) {
        task.changePhase(TaskPhase.STARTING, nowMicros);
      }
    } else if (command instanceof WorkerCommand.Remove) {
      TaskReconciler.onRemovalSent(machine, command);
    }
  }
}
