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
 * Sends starts and stops to workers immediately instead of in the response to their next heartbeat.
 *
 * <p>Such a command may arrive minutes late, or twice. Two rules make that harmless. First, a start
 * that got no reply is repeated in heartbeat responses until the worker reports the attempt, so the
 * late copy finds the attempt known and has no effect. Second, an attempt that was ever started
 * directly is not removed from its worker while the incarnation lasts, unless the task is bound to
 * that machine: a copy that arrives after its exit finds it known as well. If the task is placed on
 * that machine again in the incarnation, it runs as the same attempt, since a new one could replace
 * the old one there. To keep heartbeats small, the number of attempts that are started directly in
 * an incarnation is limited; the others wait for the heartbeat.
 */
public final class DirectCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommandSender.class);

  /**
   * Services are started directly until an incarnation has had this many direct starts, of any
   * kind.
   */
  private static final int MAX_SERVICE_STARTS = 80;

  /**
   * All other tasks are started directly until an incarnation has had this many direct starts, of
   * any kind.
   */
  private static final int MAX_OTHER_STARTS = 40;

  /** No further command is sent to a machine for this long after one that got no reply. */
  private static final long UNANSWERED_BACKOFF_MICROS = WorkerClient.TIMEOUT_MICROS;

  /** Receives the state of a worker that replied to a command. */
  @FunctionalInterface
  public interface ReplyListener {
    /** Called with the state that the machine replied with, in the form of a heartbeat. */
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
   * Creates a sender for one term.
   *
   * @param maxInFlight the maximum number of commands in flight; further ones wait until one is
   *     completed or until the machine's next heartbeat
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

  /** Ends the term: later replies are ignored. */
  public void close() {
    closed = true;
  }

  /** Sends the starts and stops that the cluster state has added since the last call. */
  public void sendPending(long nowMicros) {
    // Visits only machines with new commands: visiting all machines in each pass cost more than
    // placement.
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
      task.changePhase(TaskPhase.STARTING, nowMicros);
      task.directStart(DirectStart.SENT);
    }
    send(machine, commands, started);
  }

  /**
   * True if the task may be started directly; otherwise the responses to heartbeats start it. They
   * start a task again that was started directly here before, because the worker's record of that
   * run has to be removed first, and a job that has failed, which may have to return to a machine.
   */
  private static boolean mayStart(Machine machine, Task task) {
    if (task.job().backoff().hasFailed() || machine.directCommands().hasStartedTask(task.name())) {
      return false;
    }
    boolean service = task.spec().jobKind() == JobKind.SERVICE;
    return machine.directCommands().startCount()
        < (service ? MAX_SERVICE_STARTS : MAX_OTHER_STARTS);
  }

  /**
   * True if the stop may be sent directly. A task with checkpoints is left to the heartbeat
   * response, which gives it the time to save one.
   */
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
    boolean replied = !(reply instanceof WorkerReply.Failed);
    for (Task task : started) {
      task.directStart(replied ? DirectStart.ANSWERED : DirectStart.LOST);
    }
    if (reply instanceof WorkerReply.State state) {
      listener.onDirectReply(machine, state.heartbeat(), nowMicros);
    } else if (reply instanceof WorkerReply.Malformed malformed) {
      LOG.info(
          "direct command reply malformed: machine={} cause=\"{}\"",
          machine.name(),
          malformed.cause());
    } else if (reply instanceof WorkerReply.Failed failed) {
      LOG.info("direct command unanswered: machine={} status={}", machine.name(), failed.status());
      machine.directCommands().notBefore(nowMicros + UNANSWERED_BACKOFF_MICROS);
      machine.heartbeats().markUnreachable();
      clusterState.requestPlacement();
    }
  }
}
