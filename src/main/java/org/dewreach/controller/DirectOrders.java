package org.dewreach.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.dewreach.machine.Anew;
import org.dewreach.machine.Machine;
import org.dewreach.machine.MachinePhase;
import org.dewreach.port.Calls;
import org.dewreach.port.Target;
import org.dewreach.task.DirectStart;
import org.dewreach.task.Task;
import org.dewreach.task.TaskPhase;
import org.dewreach.wire.Codec;
import org.dewreach.wire.MalformedException;
import org.dewreach.wire.Order;
import org.dewreach.wire.Shape;
import org.dewreach.wire.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends starts and halts to workers at once, instead of waiting for their next report.
 *
 * <p>Such a command may arrive minutes late, or again. Two things make that harmless. A start
 * without an answer is repeated in report responses until the worker shows the attempt, so the late
 * copy finds the attempt known and has no effect. And an attempt that was ever started directly is
 * not cleared on its worker while the session lasts: a copy that arrives after its exit finds it
 * known as well. Nor is the task placed on that machine again in the session, since a new attempt
 * could take the place of the old one there. So that the reports stay small, only so many attempts
 * of a session are started directly; the others wait for the report.
 */
final class DirectOrders {
  private static final Logger LOG = LoggerFactory.getLogger(DirectOrders.class);
  private static final long TIMEOUT = 2_500_000;

  /** Direct starts in one session, for services and for other work. Ours. */
  private static final int MOST_SERVICES = 80;

  private static final int MOST_OTHERS = 40;

  /** Takes the report that answers a command. */
  interface Reports {
    void on(Machine machine, WorkerReport report, long nowMicros);
  }

  private final long term;
  private final Calls calls;
  private final Books books;
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
  DirectOrders(long term, Calls calls, Books books, Reports reports, int mostInFlight) {
    this.mostInFlight = mostInFlight;
    this.term = term;
    this.calls = calls;
    this.books = books;
    this.reports = reports;
  }

  void close() {
    closed = true;
  }

  void send(long nowMicros) {
    // Only machines with something new: looking at all of them in each pass cost more than placing.
    Iterator<Machine> it = books.toCommand().iterator();
    while (it.hasNext() && inFlight < mostInFlight) {
      Machine machine = it.next();
      boolean reachable =
          (machine.phase() == MachinePhase.UP || machine.phase() == MachinePhase.DRAINING)
              && machine.recorded()
              && machine.session() >= 0;
      if (!reachable) {
        it.remove();
      } else if (!machine.directInFlight() && nowMicros >= machine.directAgainAt()) {
        it.remove();
        send(machine, nowMicros);
      }
    }
  }

  /**
   * Asks a machine for its count, after a report that shows an older one and no token.
   *
   * <p>Such a report is a late copy of the machine's first, or the first of a worker that began
   * anew with the same name. The latter would carry out a late copy of a direct start once more; so
   * what was bound there stays bound until the machine is returned, which is done at once.
   */
  void askForCount(Machine machine) {
    if (machine.anew() != Anew.NO) {
      return;
    }
    machine.anew(Anew.ASKED);
    long session = machine.session();
    long sequence = machine.sequence();
    calls.call(
        new Target.Worker(machine.address()),
        "GET",
        "/status",
        null,
        TIMEOUT,
        (now, status, answer) -> {
          if (closed || status != 200) {
            return;
          }
          try {
            WorkerReport report = WorkerReport.parse(answer);
            boolean lower =
                report.session() < session
                    || report.session() == session && report.sequence() < sequence;
            if (report.machine().equals(machine.name())) {
              machine.anew(lower ? Anew.SURE : Anew.NO);
            }
          } catch (MalformedException e) {
            LOG.info("status of {} not understood: {}", machine.name(), e.getMessage());
          }
        });
  }

  private void send(Machine machine, long nowMicros) {
    List<Order> orders = new ArrayList<>();
    List<Task> started = new ArrayList<>();
    for (Task task : machine.tasks()) {
      if (task.phase() == TaskPhase.ASSIGNED && mayStartDirectly(machine, task)) {
        orders.add(new Order.Start(task.name(), task.attempt()));
        started.add(task);
        machine.startedDirectly(task.name(), task.attempt());
      } else if (task.phase() == TaskPhase.STOPPING
          && !task.haltSentDirectly()
          && task.spec().checkpointMicros() == 0) {
        task.markHaltSentDirectly();
        orders.add(new Order.Halt(task.name(), task.attempt(), 0));
      }
    }
    if (orders.isEmpty()) {
      return;
    }
    for (Task task : started) {
      task.become(TaskPhase.STARTING, nowMicros);
      task.direct(DirectStart.SENT);
    }
    ObjectNode body = Codec.map().put("warrant", term).put("tenure", machine.session());
    ArrayNode list = body.putArray("orders");
    orders.forEach(order -> list.add(order.toNode()));
    LOG.debug("direct to {}: {}", machine.name(), orders);
    machine.directInFlight(true);
    inFlight++;
    calls.call(
        new Target.Worker(machine.address()),
        "POST",
        "/do",
        body,
        TIMEOUT,
        (now, status, answer) -> onAnswer(machine, started, now, status, answer));
  }

  private static boolean mayStartDirectly(Machine machine, Task task) {
    int most = task.spec().shape() == Shape.SERVICE ? MOST_SERVICES : MOST_OTHERS;
    return machine.directStarts() < most;
  }

  private void onAnswer(
      Machine machine, List<Task> started, long nowMicros, int status, JsonNode answer) {
    if (closed) {
      return;
    }
    machine.directInFlight(false);
    inFlight--;
    boolean answered = status == 200 || status == 409;
    for (Task task : started) {
      task.direct(answered ? DirectStart.ANSWERED : DirectStart.LOST);
    }
    if (!answered) {
      LOG.info("machine {}: direct command without answer ({})", machine.name(), status);
      machine.directAgainAt(nowMicros + TIMEOUT);
      machine.notReached();
      books.touch();
      return;
    }
    try {
      WorkerReport report = WorkerReport.parse(answer);
      if (report.machine().equals(machine.name())) {
        reports.on(machine, report, nowMicros);
      }
    } catch (MalformedException e) {
      LOG.info("answer of {} not understood: {}", machine.name(), e.getMessage());
    }
  }
}
