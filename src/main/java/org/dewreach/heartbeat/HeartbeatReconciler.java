package org.dewreach.heartbeat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dewreach.membership.MachineDrainer;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.Codec;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.Heartbeat.Cause;
import org.dewreach.wire.Heartbeat.TaskState;
import org.dewreach.wire.Heartbeat.TaskStatus;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.TaskName;
import org.dewreach.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads workers' reports into the cluster state and answers with what has to change.
 *
 * <p>A worker has one report in flight and drops a response after 4 s, so its next report tells
 * surely whether the commands of a response were carried out. {@link DirectCommandSender} says what
 * holds for those sent directly.
 */
final class HeartbeatReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

  /** Keeps a response well within 64 KiB. */
  private static final int MAX_ORDERS = 300;

  /** A machine on which tasks of this many jobs failed in a row is not given more. */
  private static final int MAX_ERRED_JOBS = 2;

  /** Nor one on which this many tasks failed in a row of a job that completes them elsewhere. */
  private static final int MAX_ERRORS = 3;

  private static final long GRACE_SLACK_MICROS = 5_000_000;

  /** A replica that has run for this long works there. A default of this project. */
  private static final long RUNS_WELL_MICROS = 30_000_000;

  /**
   * The other attempt that a worker tells of is stopped with its next reports. A default of this
   * project.
   */
  private static final long IN_USE_PAUSE_MICROS = 10_000_000;

  private final long term;
  private final ClusterState clusterState;

  HeartbeatReconciler(long term, ClusterState clusterState) {
    this.term = term;
    this.clusterState = clusterState;
  }

  /**
   * Reads a report that is newer than the last one of its machine, and returns the response.
   *
   * @param answerable false if the report answers a direct command, so that no response follows
   */
  ObjectNode take(Machine machine, Heartbeat report, boolean answerable, long nowMicros) {
    boolean incarnationOver =
        machine.incarnation() >= 0 && report.incarnation() > machine.incarnation();
    if (incarnationOver) {
      clusterState.unbindAll(
          machine, "its worker began session " + report.incarnation(), nowMicros);
    }
    boolean first = machine.incarnation() < 0;
    long previousAt = machine.lastHeartbeat();
    machine.recordSequence(report.incarnation(), report.sequence());
    if (answerable) {
      machine.recordHeartbeat(nowMicros);
    }
    machine.address(report.address());
    // Commands of earlier terms may still arrive until the worker has seen our token, unless none
    // were ever sent to it. A report with another token may also be a late copy, from seconds to
    // minutes old, of a machine that is gone or does other things now: nothing is concluded from
    // it but what is true for ever (a task has completed, an earlier incarnation is over).
    boolean sure =
        report.token() == term
            || report.token() == 0 && !machine.commandedByEarlierTerm() && !machine.requiresToken();
    if (sure) {
      machine.markReconciled();
    }
    if (answerable && !first) {
      judgeHearing(machine, report, incarnationOver, previousAt);
    }
    settlePhase(machine, report, sure, nowMicros);
    List<WorkerCommand> stops = new ArrayList<>();
    List<WorkerCommand> removals = new ArrayList<>();
    Set<TaskName> seen = new HashSet<>();
    for (TaskStatus reported : report.tasks()) {
      seen.add(reported.name());
      read(machine, reported, sure, stops, removals, nowMicros);
    }
    List<WorkerCommand> starts = new ArrayList<>();
    if (sure) {
      for (Task task : List.copyOf(machine.tasks())) {
        settleBound(
            machine, task, seen.contains(task.name()), answerable, starts, stops, nowMicros);
      }
    }
    ObjectNode response = Codec.map().put("warrant", term);
    ArrayNode commands = response.putArray("orders");
    // Without a report that is sure there are only stops of what is cancelled. Guards against
    // leases
    // renewed by one new leader after the other, of which each waits for a report with its token.
    if (answerable && machine.recorded()) {
      for (List<WorkerCommand> group : sure ? List.of(stops, removals, starts) : List.of(stops)) {
        for (WorkerCommand command : group) {
          if (commands.size() < MAX_ORDERS) {
            LOG.debug("order to {}: {}", machine.name(), command);
            sent(machine, command, nowMicros);
            commands.add(command.toNode());
          }
        }
      }
    }
    return response;
  }

  /**
   * Guards against machines whose reports arrive while answers and commands do not reach them: what
   * is placed there never starts, and what runs there dies with its lease.
   */
  private void judgeHearing(
      Machine machine, Heartbeat report, boolean incarnationOver, long previousAt) {
    boolean tokenMissing = report.token() != term;
    boolean startMissing = false;
    if (!tokenMissing) {
      Set<TaskName> shown = new HashSet<>();
      report.tasks().forEach(task -> shown.add(task.name()));
      for (Task task : machine.tasks()) {
        // A start sent since the report before this one may have passed this one on the way.
        startMissing |=
            task.phase() == TaskPhase.STARTING
                && task.phaseSince() <= previousAt
                && !shown.contains(task.name());
      }
    }
    boolean was = machine.missesReplies();
    machine.recordReplyDelivery(!tokenMissing && !startMissing && !incarnationOver);
    if (machine.missesReplies() != was) {
      LOG.info(
          "machine {} {}", machine.name(), was ? "takes answers again" : "does not take answers");
      clusterState.requestPlacement();
    }
  }

  private void sent(Machine machine, WorkerCommand command, long nowMicros) {
    if (command instanceof WorkerCommand.Start) {
      Task task = machine.task(command.task());
      if (task.phase() == TaskPhase.ASSIGNED) {
        task.become(TaskPhase.STARTING, nowMicros);
      }
    }
  }

  private void settlePhase(Machine machine, Heartbeat report, boolean sure, long nowMicros) {
    switch (machine.phase()) {
      case BOOTING, UNKNOWN, UNCONFIRMED, LOST -> {
        MachinePhase next = sure ? MachinePhase.UP : MachinePhase.UNCONFIRMED;
        if (machine.phase() != next) {
          LOG.info("machine {} {} -> {}", machine.name(), machine.phase(), next);
          machine.become(next, nowMicros);
          clusterState.requestPlacement();
        }
      }
      case UP, DRAINING, TERMINATING, GONE -> {
        // stays what it is
      }
    }
    if (report.reclaimMicros() >= 0 && machine.reclaimAt() < 0) {
      LOG.info("machine {} will be taken in {} ms", machine.name(), report.reclaimMicros() / 1000);
      machine.reclaimAt(nowMicros + report.reclaimMicros());
    }
  }

  private void read(
      Machine machine,
      TaskStatus reported,
      boolean sure,
      List<WorkerCommand> stops,
      List<WorkerCommand> removals,
      long nowMicros) {
    TaskName name = reported.name();
    Job job = clusterState.jobs().get(name.jobId());
    Task task = machine.task(name);
    boolean exited = reported.state() == TaskState.EXITED;
    if (task != null && task.attempt() == reported.attempt()) {
      if (exited) {
        onExit(machine, task, reported.cause(), nowMicros);
      } else {
        follow(task, reported.state(), nowMicros);
        return;
      }
    } else if (exited && reported.cause() == Cause.DONE && job != null) {
      // Known from an earlier term, or from an attempt that we had given up.
      clusterState.markDone(job, name.index());
    }
    if (exited) {
      // The result stays reported until it is durable, so that no leader can miss it.
      boolean keep =
          machine.directCommands().hasStartedAttempt(reported.attempt())
              || reported.cause() == Cause.DONE
                  && job != null
                  && (job.isOpen() || job.phase() == JobPhase.FINALIZING)
                  && !job.durableDone().get(name.index());
      if (!keep) {
        removals.add(new WorkerCommand.Remove(name, reported.attempt()));
      }
      return;
    }
    if (!sure) {
      // It may be a late copy: a task bound by it would be stopped where it really runs. But an
      // attempt of a cancelled job is not wanted, however old the report is.
      if (job != null && job.phase() == JobPhase.CANCELLED) {
        stops.add(new WorkerCommand.Stop(name, reported.attempt(), 0));
      }
      return;
    }
    if (job != null && !job.bound().containsKey(name.index()) && job.phase() != JobPhase.ENDED) {
      adopt(machine, job, reported, nowMicros);
    } else {
      LOG.info("machine {}: stray {} attempt {}", machine.name(), name, reported.attempt());
      stops.add(new WorkerCommand.Stop(name, reported.attempt(), 0));
    }
  }

  /** A task that an earlier leader started. */
  private void adopt(Machine machine, Job job, TaskStatus reported, long nowMicros) {
    TaskPhase phase =
        switch (reported.state()) {
          case PULLING -> TaskPhase.PULLING;
          case RUNNING -> TaskPhase.RUNNING;
          case SAVING -> TaskPhase.STOPPING;
          case EXITED -> throw new IllegalArgumentException("exited tasks are not adopted");
        };
    clusterState.bind(job, reported.name().index(), reported.attempt(), machine, phase, nowMicros);
    if (phase != TaskPhase.PULLING) {
      machine.recordImageFetched(job.spec());
    }
  }

  private void follow(Task task, TaskState state, long nowMicros) {
    if (task.phase() == TaskPhase.STOPPING) {
      return;
    }
    switch (state) {
      case PULLING -> task.become(TaskPhase.PULLING, nowMicros);
      case RUNNING -> {
        task.become(TaskPhase.RUNNING, nowMicros);
        boolean replica = task.spec().jobKind() == JobKind.SERVICE;
        if (replica && nowMicros - task.startedAt() > RUNS_WELL_MICROS) {
          // A service never completes: that it runs for a while says as much.
          task.job().recordSuccess();
        }
      }
      case SAVING -> task.become(TaskPhase.STOPPING, nowMicros);
      case EXITED -> throw new IllegalArgumentException("handled by onExit");
    }
  }

  private void onExit(Machine machine, Task task, Cause cause, long nowMicros) {
    Job job = task.job();
    clusterState.unbind(task, "exited: " + cause, nowMicros);
    switch (cause) {
      case DONE -> {
        clusterState.markDone(job, task.index());
        machine.failures().recordSuccess();
      }
      case ERROR -> {
        job.recordFailure(machine.name(), nowMicros);
        LOG.info("task {} failed on {}", task.name(), machine.name());
        if (job.failsRepeatedly()) {
          clear(job, nowMicros);
        } else {
          machine.failures().recordFailure(job.id());
          if (faulty(machine, job) && !machine.quarantined()) {
            LOG.info(
                "machine {} set aside: {} tasks failed",
                machine.name(),
                machine.failures().failureCount());
            machine.failures().quarantine(nowMicros);
          }
        }
      }
      case FULL -> machine.refusedAt(nowMicros);
      case IN_USE -> job.avoidMachine(machine.name(), nowMicros + IN_USE_PAUSE_MICROS);
      case NO_SUCH -> job.delayUntil(nowMicros + 2_000_000);
      case STOPPED, NONE -> {
        // it goes back to the queue
      }
    }
  }

  /** One job's failures tell as much where its other tasks have completed elsewhere. */
  private static boolean faulty(Machine machine, Job job) {
    return machine.failures().jobs().size() >= MAX_ERRED_JOBS
        || machine.failures().failureCount() >= MAX_ERRORS && job.doneCount() > 0;
  }

  /**
   * A job that fails wherever it goes says nothing about the machines.
   *
   * <p>Guards against healthy machines that are quarantined, and rented again, because two jobs
   * with a mistake met there.
   */
  private void clear(Job job, long nowMicros) {
    for (String name : job.avoidedMachines(nowMicros)) {
      Machine machine = clusterState.machines().get(name);
      boolean blamed = machine != null && machine.failures().jobs().remove(job.id());
      if (blamed && machine.quarantined() && !faulty(machine, job)) {
        LOG.info("machine {} is given tasks again: job {} fails everywhere", name, job.id());
        machine.failures().endQuarantine();
        resume(machine, nowMicros);
        clusterState.requestPlacement();
      }
    }
  }

  /**
   * A machine that only drains because it was quarantined takes tasks again.
   *
   * <p>Guards against a machine that is cleared once {@link MachineDrainer} has begun to drain it:
   * it was given nothing, and never returned, until the term ended.
   */
  private static void resume(Machine machine, long nowMicros) {
    if (machine.phase() == MachinePhase.DRAINING && machine.reclaimAt() < 0) {
      machine.become(MachinePhase.UP, nowMicros);
    }
  }

  /**
   * What a task that the cluster state binds here needs, after a report that is sure to show all.
   */
  private void settleBound(
      Machine machine,
      Task task,
      boolean shown,
      boolean answerable,
      List<WorkerCommand> starts,
      List<WorkerCommand> stops,
      long nowMicros) {
    Job job = task.job();
    boolean wanted = job.phase() == JobPhase.ACTIVE && !job.done().get(task.index());
    if (!wanted && task.phase() != TaskPhase.STOPPING) {
      clusterState.stop(task, "not wanted any more", nowMicros);
    }
    switch (task.phase()) {
      case ASSIGNED -> starts.add(new WorkerCommand.Start(task.name(), task.attempt()));
      case STARTING -> {
        // The response with the start was dropped: this report was sent after that.
        if (!shown) {
          starts.add(new WorkerCommand.Start(task.name(), task.attempt()));
        }
      }
      case PULLING, RUNNING -> {
        if (!shown && !task.mayStartLate()) {
          clusterState.unbind(task, "not reported any more", nowMicros);
        }
      }
      case STOPPING -> {
        if (shown) {
          stops.add(
              new WorkerCommand.Stop(task.name(), task.attempt(), grace(machine, task, nowMicros)));
        } else if (task.mayStartLate()) {
          // Once the worker knows the attempt, the late start has no effect.
          starts.add(new WorkerCommand.Start(task.name(), task.attempt()));
          starts.add(new WorkerCommand.Stop(task.name(), task.attempt(), 0));
        } else if (answerable) {
          // The answer to a direct command proves nothing here: the response with the start may
          // still be on its way. Only the next report was sent after it was taken or dropped.
          clusterState.unbind(task, "stopped before it started", nowMicros);
        }
      }
      case GONE -> {
        // nothing to do
      }
    }
  }

  private static long grace(Machine machine, Task task, long nowMicros) {
    if (task.job().phase() != JobPhase.ACTIVE || task.spec().checkpointMicros() == 0) {
      return 0;
    }
    long grace = task.spec().saveMicros() + GRACE_SLACK_MICROS;
    return nowMicros - task.phaseSince() > grace + GRACE_SLACK_MICROS ? 0 : grace;
  }
}
