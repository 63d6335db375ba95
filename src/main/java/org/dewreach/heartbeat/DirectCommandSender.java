package org.dewreach.heartbeat;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.dewreach.model.DirectStart;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.port.Outbox;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.DirectCommandRequest;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends starts and stops to workers at once, instead of waiting for their next heartbeat.
 *
 * <p>Such a command may arrive minutes late, or twice. Two things make that harmless. A start
 * without an answer is repeated in heartbeat responses until the worker reports the attempt, so the
 * late copy finds the attempt known and has no effect. And an attempt that was ever started
 * directly is not removed from its worker while the incarnation lasts: a copy that arrives after
 * its exit finds it known as well. Nor is the task placed on that machine again in the incarnation,
 * since a new attempt could take the place of the old one there. So that heartbeats stay small,
 * only so many attempts of an incarnation are started directly; the others wait for the heartbeat.
 */
public final class DirectCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommandSender.class);

  /** Direct starts of services in one incarnation. A default of this project. */
  private static final int MAX_SERVICE_STARTS = 80;

  /** Direct starts of all other tasks in one incarnation. A default of this project. */
  private static final int MAX_OTHER_STARTS = 40;

  /** No further command to a machine for this long after one that it did not answer. */
  private static final long UNANSWERED_PAUSE_MICROS = WorkerClient.TIMEOUT_MICROS;

  /** Takes the state of a worker that answered a command. */
  @FunctionalInterface
  public interface ReplyListener {
    /** The machine answered with this state, in the form of a heartbeat. */
    void onDirectReply(Machine machine, Heartbeat heartbeat, long nowMicros);
  }

  private final long term;
  private final WorkerClient workers;
  private final ClusterState clusterState;
  private final ReplyListener listener;
  private final int maxInFlight;
  private int inFlight;
  private boolean closed;

  /**
   * A sender of one term, which has sent nothing yet.
   *
   * @param maxInFlight commands on their way at once; what exceeds it waits, for a moment or for
   *     the machine's next heartbeat
   */
  public DirectCommandSender(
      long term,
      Outbox outbox,
      ClusterState clusterState,
      ReplyListener listener,
      int maxInFlight) {
    this.term = term;
    this.workers = new WorkerClient(outbox);
    this.clusterState = clusterState;
    this.listener = listener;
    this.maxInFlight = maxInFlight;
  }

  /** The term is over: answers that still come are ignored. */
  public void close() {
    closed = true;
  }

  /** Sends what the cluster state assigned or stopped since the last time. */
  public void sendPending(long nowMicros) {
    // Only machines with something new: looking at all of them in each pass cost more than placing.
    Iterator<Machine> machines = clusterState.machinesToCommand().iterator();
    while (machines.hasNext() && inFlight < maxInFlight) {
      Machine machine = machines.next();
      if (!mayCommand(machine)) {
        machines.remove();
      } else if (!machine.directCommands().inFlight()
          && nowMicros >= machine.directCommands().notBefore()) {
        machines.remove();
        sendPending(machine, nowMicros);
      }
    }
  }

  private static boolean mayCommand(Machine machine) {
    return (machine.phase() == MachinePhase.UP || machine.phase() == MachinePhase.DRAINING)
        && machine.commandable()
        && machine.heartbeats().incarnation() >= 0;
  }

  private void sendPending(Machine machine, long nowMicros) {
    List<WorkerCommand> commands = new ArrayList<>();
    List<Task> started = new ArrayList<>();
    for (Task task : machine.tasks()) {
      if (task.phase() == TaskPhase.ASSIGNED && mayStart(machine, task)) {
        commands.add(new WorkerCommand.Start(task.name(), task.attempt()));
        started.add(task);
        machine.directCommands().recordStart(task.name(), task.attempt());
      } else if (mayStop(task)) {
        task.markStopSentDirectly();
        commands.add(new WorkerCommand.Stop(task.name(), task.attempt(), 0));
      }
    }
    if (commands.isEmpty()) {
      return;
    }
    for (Task task : started) {
      task.become(TaskPhase.STARTING, nowMicros);
      task.directStart(DirectStart.SENT);
    }
    send(machine, commands, started);
  }

  private static boolean mayStart(Machine machine, Task task) {
    boolean service = task.spec().jobKind() == JobKind.SERVICE;
    return machine.directCommands().startCount()
        < (service ? MAX_SERVICE_STARTS : MAX_OTHER_STARTS);
  }

  /** A task that saves checkpoints is left to the heartbeat response, which gives it the time. */
  private static boolean mayStop(Task task) {
    return task.phase() == TaskPhase.STOPPING
        && !task.stopSentDirectly()
        && task.spec().checkpointIntervalMicros() == 0;
  }

  private void send(Machine machine, List<WorkerCommand> commands, List<Task> started) {
    LOG.debug("direct commands sent: machine={} commands={}", machine.name(), commands);
    machine.directCommands().inFlight(true);
    inFlight++;
    workers.send(
        machine,
        new DirectCommandRequest(term, machine.heartbeats().incarnation(), commands),
        (now, reply) -> onReply(machine, started, reply, now));
  }

  private void onReply(Machine machine, List<Task> started, WorkerReply reply, long nowMicros) {
    if (closed) {
      return;
    }
    machine.directCommands().inFlight(false);
    inFlight--;
    boolean answered = !(reply instanceof WorkerReply.Failed);
    for (Task task : started) {
      task.directStart(answered ? DirectStart.ANSWERED : DirectStart.LOST);
    }
    if (reply instanceof WorkerReply.State state) {
      listener.onDirectReply(machine, state.heartbeat(), nowMicros);
    } else if (reply instanceof WorkerReply.Malformed malformed) {
      LOG.info(
          "direct command answer malformed: machine={} cause=\"{}\"",
          machine.name(),
          malformed.cause());
    } else if (reply instanceof WorkerReply.Failed failed) {
      LOG.info("direct command unanswered: machine={} status={}", machine.name(), failed.status());
      machine.directCommands().notBefore(nowMicros + UNANSWERED_PAUSE_MICROS);
      machine.heartbeats().markUnreachable();
      clusterState.requestPlacement();
    }
  }
}
