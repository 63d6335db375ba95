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
 * Reconciles the cluster state with a worker's heartbeat, and answers with what has to change.
 *
 * <p>A worker has one heartbeat in flight and drops a response after 4 s, so its next heartbeat
 * tells for certain whether the commands of a response were carried out. {@link
 * DirectCommandSender} says what holds for those sent directly.
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

  /** Takes in a heartbeat that is newer than the last one of its machine, and answers it. */
  HeartbeatResponse onHeartbeat(Machine machine, Heartbeat heartbeat, long nowMicros) {
    boolean first = machine.heartbeats().incarnation() < 0;
    boolean newIncarnation = beginsNewIncarnation(machine, heartbeat);
    long previousHeartbeatMicros = machine.heartbeats().lastHeartbeat();
    Observation observation = observe(machine, heartbeat, Channel.HEARTBEAT, nowMicros);
    if (!first) {
      responseLoss.onHeartbeat(observation, newIncarnation, previousHeartbeatMicros);
    }
    CommandBatch commands = reconcile(observation);
    if (!machine.commandable()) {
      return HeartbeatResponse.withoutCommands(term);
    }
    List<WorkerCommand> sent = commands.forResponse(observation.evidence());
    sent.forEach(command -> onSent(machine, command, nowMicros));
    return new HeartbeatResponse(term, sent);
  }

  /** Takes in the answer to a direct command, if it is newer than what the machine told before. */
  void onDirectReply(Machine machine, Heartbeat heartbeat, long nowMicros) {
    // What it calls for is left to the response to the next heartbeat.
    reconcile(observe(machine, heartbeat, Channel.DIRECT_REPLY, nowMicros));
  }

  private static boolean beginsNewIncarnation(Machine machine, Heartbeat heartbeat) {
    return machine.heartbeats().incarnation() >= 0
        && heartbeat.incarnation() > machine.heartbeats().incarnation();
  }

  /** Updates what is known of the machine itself, and judges what the heartbeat proves. */
  private Observation observe(
      Machine machine, Heartbeat heartbeat, Channel channel, long nowMicros) {
    if (beginsNewIncarnation(machine, heartbeat)) {
      clusterState.unbindAll(
          machine, "its worker began incarnation " + heartbeat.incarnation(), nowMicros);
    }
    machine.recordSequence(heartbeat.incarnation(), heartbeat.sequence());
    if (channel == Channel.HEARTBEAT) {
      machine.heartbeats().recordHeartbeat(nowMicros);
    }
    machine.address(heartbeat.address());
    Observation observation = Observation.of(machine, heartbeat, channel, term, nowMicros);
    if (observation.isCurrent()) {
      machine.markReconciled();
    }
    return observation;
  }

  private CommandBatch reconcile(Observation observation) {
    updatePhase(observation);
    updateReclaimTime(observation);
    return tasks.reconcile(observation);
  }

  private void updatePhase(Observation observation) {
    Machine machine = observation.machine();
    switch (machine.phase()) {
      case BOOTING, UNKNOWN, UNCONFIRMED, LOST -> {
        MachinePhase next = observation.isCurrent() ? MachinePhase.UP : MachinePhase.UNCONFIRMED;
        if (machine.phase() != next) {
          clusterState.changePhase(machine, next, "heartbeat", observation.nowMicros());
        }
      }
      case UP, DRAINING, TERMINATING, GONE -> {
        // stays what it is
      }
    }
  }

  private static void updateReclaimTime(Observation observation) {
    Machine machine = observation.machine();
    long reclaimMicros = observation.heartbeat().reclaimMicros();
    if (reclaimMicros >= 0 && machine.reclaimAt() < 0) {
      LOG.info(
          "machine reclaim announced: machine={} in_ms={}",
          machine.name(),
          reclaimMicros / MICROS_PER_MS);
      machine.reclaimAt(observation.nowMicros() + reclaimMicros);
    }
  }

  private static void onSent(Machine machine, WorkerCommand command, long nowMicros) {
    LOG.debug("command sent: machine={} command={}", machine.name(), command);
    if (command instanceof WorkerCommand.Start) {
      Task task = machine.task(command.task());
      if (task.phase() == TaskPhase.ASSIGNED) {
        task.become(TaskPhase.STARTING, nowMicros);
      }
    }
  }
}
