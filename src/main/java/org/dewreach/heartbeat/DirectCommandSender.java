package org.dewreach.heartbeat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.dewreach.model.DirectStart;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.RestartCheck;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.Codec;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.MalformedException;
import org.dewreach.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends starts and stops to workers at once, instead of waiting for their next report.
 *
 * <p>Such a command may arrive minutes late, or again. Two things make that harmless. A start
 * without an answer is repeated in report responses until the worker shows the attempt, so the late
 * copy finds the attempt known and has no effect. And an attempt that was ever started directly is
 * not cleared on its worker while the incarnation lasts: a copy that arrives after its exit finds
 * it known as well. Nor is the task placed on that machine again in the incarnation, since a new
 * attempt could take the place of the old one there. So that the reports stay small, only so many
 * attempts of a incarnation are started directly; the others wait for the report.
 */
public final class DirectCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommandSender.class);
  private static final long TIMEOUT_MICROS = 2_500_000;

  /**
   * Direct starts in one incarnation, for services and for other work. A default of this project.
   */
  private static final int MAX_SERVICES = 80;

  private static final int MAX_OTHERS = 40;

  /** Takes the report that answers a command. */
  public interface Reports {
    void on(Machine machine, Heartbeat report, long nowMicros);
  }

  private final long term;
  private final Outbox outbox;
  private final ClusterState clusterState;
  private final Reports reports;
  private final int mostInFlight;
  private int inFlight;
  private boolean closed;

  /**
   * None sent yet.
   *
   * @param mostInFlight commands on their way at once; what is over waits, for a moment or for the
   *     machine's next report
   */
  public DirectCommandSender(
      long term, Outbox outbox, ClusterState clusterState, Reports reports, int mostInFlight) {
    this.mostInFlight = mostInFlight;
    this.term = term;
    this.outbox = outbox;
    this.clusterState = clusterState;
    this.reports = reports;
  }

  public void close() {
    closed = true;
  }

  public void send(long nowMicros) {
    // Only machines with something new: looking at all of them in each pass cost more than placing.
    Iterator<Machine> it = clusterState.machinesToCommand().iterator();
    while (it.hasNext() && inFlight < mostInFlight) {
      Machine machine = it.next();
      boolean reachable =
          (machine.phase() == MachinePhase.UP || machine.phase() == MachinePhase.DRAINING)
              && machine.recorded()
              && machine.incarnation() >= 0;
      if (!reachable) {
        it.remove();
      } else if (!machine.directCommands().inFlight()
          && nowMicros >= machine.directCommands().notBefore()) {
        it.remove();
        send(machine, nowMicros);
      }
    }
  }

  /**
   * Asks a machine for its count, after a report that shows an older one and no token.
   *
   * <p>Such a report is a late copy of the machine's first, or the first of a worker that restarted
   * with the same name. The latter would carry out a late copy of a direct start once more; so what
   * was bound there stays bound until the machine is returned, which is done at once.
   */
  void askForCount(Machine machine) {
    if (machine.restartCheck() != RestartCheck.NONE) {
      return;
    }
    machine.restartCheck(RestartCheck.CHECKING);
    long incarnation = machine.incarnation();
    long sequence = machine.sequence();
    outbox.call(
        new Target.Worker(machine.address()),
        "GET",
        "/status",
        null,
        TIMEOUT_MICROS,
        (now, status, answer) -> {
          if (closed || status != 200) {
            return;
          }
          try {
            Heartbeat report = Heartbeat.parse(answer);
            boolean lower =
                report.incarnation() < incarnation
                    || report.incarnation() == incarnation && report.sequence() < sequence;
            if (report.machine().equals(machine.name())) {
              machine.restartCheck(lower ? RestartCheck.CONFIRMED : RestartCheck.NONE);
            }
          } catch (MalformedException e) {
            LOG.info("status of {} not understood: {}", machine.name(), e.getMessage());
          }
        });
  }

  private void send(Machine machine, long nowMicros) {
    List<WorkerCommand> commands = new ArrayList<>();
    List<Task> started = new ArrayList<>();
    for (Task task : machine.tasks()) {
      if (task.phase() == TaskPhase.ASSIGNED && mayStartDirectly(machine, task)) {
        commands.add(new WorkerCommand.Start(task.name(), task.attempt()));
        started.add(task);
        machine.directCommands().recordStart(task.name(), task.attempt());
      } else if (task.phase() == TaskPhase.STOPPING
          && !task.stopSentDirectly()
          && task.spec().checkpointMicros() == 0) {
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
    ObjectNode body = Codec.map().put("warrant", term).put("tenure", machine.incarnation());
    ArrayNode list = body.putArray("orders");
    commands.forEach(command -> list.add(command.toNode()));
    LOG.debug("direct to {}: {}", machine.name(), commands);
    machine.directCommands().inFlight(true);
    inFlight++;
    outbox.call(
        new Target.Worker(machine.address()),
        "POST",
        "/do",
        body,
        TIMEOUT_MICROS,
        (now, status, answer) -> onAnswer(machine, started, now, status, answer));
  }

  private static boolean mayStartDirectly(Machine machine, Task task) {
    int most = task.spec().jobKind() == JobKind.SERVICE ? MAX_SERVICES : MAX_OTHERS;
    return machine.directCommands().startCount() < most;
  }

  private void onAnswer(
      Machine machine, List<Task> started, long nowMicros, int status, JsonNode answer) {
    if (closed) {
      return;
    }
    machine.directCommands().inFlight(false);
    inFlight--;
    boolean answered = status == 200 || status == 409;
    for (Task task : started) {
      task.directStart(answered ? DirectStart.ANSWERED : DirectStart.LOST);
    }
    if (!answered) {
      LOG.info("machine {}: direct command without answer ({})", machine.name(), status);
      machine.directCommands().notBefore(nowMicros + TIMEOUT_MICROS);
      machine.markUnreachable();
      clusterState.requestPlacement();
      return;
    }
    try {
      Heartbeat report = Heartbeat.parse(answer);
      if (report.machine().equals(machine.name())) {
        reports.on(machine, report, nowMicros);
      }
    } catch (MalformedException e) {
      LOG.info("answer of {} not understood: {}", machine.name(), e.getMessage());
    }
  }
}
