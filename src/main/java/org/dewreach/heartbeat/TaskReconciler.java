package org.dewreach.heartbeat;

import java.util.List;
import org.dewreach.model.DirectStart;
import org.dewreach.model.ExitedRecord;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.Heartbeat.ExitCause;
import org.dewreach.wire.Heartbeat.TaskState;
import org.dewreach.wire.Heartbeat.TaskStatus;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.TaskName;
import org.dewreach.wire.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the tasks in a worker's report with the tasks that the cluster state binds to its
 * machine.
 */
final class TaskReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskReconciler.class);

  /** The time that a stop may take beyond the time to save a checkpoint. */
  private static final long STOP_GRACE_MARGIN_MICROS = 5_000_000;

  /** A replica that has run for this long counts as a success. */
  private static final long REPLICA_HEALTHY_AFTER_MICROS = 30_000_000;

  /**
   * The backoff after a worker rejected a task because another attempt of it runs there; that
   * attempt is stopped with the next heartbeats.
   */
  private static final long ATTEMPT_CONFLICT_BACKOFF_MICROS = 10_000_000;

  /** The backoff of a job after a worker rejected a start because the job is unknown to it. */
  private static final long UNKNOWN_JOB_BACKOFF_MICROS = 2_000_000;

  private final ClusterState clusterState;
  private final QuarantinePolicy quarantine;

  TaskReconciler(ClusterState clusterState) {
    this.clusterState = clusterState;
    this.quarantine = new QuarantinePolicy(clusterState);
  }

  /** Updates the cluster state, and collects the commands that the report requires. */
  CommandBatch reconcile(WorkerReport report) {
    CommandBatch commands = new CommandBatch();
    for (TaskStatus reported : report.heartbeat().tasks()) {
      if (reported.state() == TaskState.EXITED) {
        reconcileExited(report, reported, commands);
      } else {
        reconcileLive(report, reported, commands);
      }
    }
    if (report.isCurrent()) {
      for (Task task : List.copyOf(report.machine().tasks())) {
        reconcileBound(report, task, commands);
      }
    }
    return commands;
  }

  /**
   * Returns the bound task that the worker reports, or null if another attempt or none is bound
   * there.
   */
  private static Task boundAttempt(Machine machine, TaskStatus reported) {
    Task task = machine.task(reported.name());
    return task != null && task.attempt() == reported.attempt() ? task : null;
  }

  // Tasks in the worker's report

  private void reconcileExited(WorkerReport report, TaskStatus reported, CommandBatch commands) {
    Machine machine = report.machine();
    TaskName name = reported.name();
    Job job = clusterState.jobs().get(name.jobId());
    Task task = boundAttempt(machine, reported);
    if (task != null && isEarlierRun(task, reported)) {
      reconcileEarlierRun(report, task, commands);
      return;
    }
    if (task != null) {
      onExit(machine, task, reported.cause(), report.nowMicros());
    } else if (reported.cause() == ExitCause.DONE && job != null) {
      // The attempt is from an earlier term, or was assumed to be gone.
      clusterState.markDone(job, name.index());
    }
    if (!mustStayReported(machine, job, reported)) {
      commands.remove(name, reported.attempt());
    }
  }

  /**
   * True if the worker reports an exit of an earlier run of the attempt. A result counts, whichever
   * run it is of.
   */
  private static boolean isEarlierRun(Task task, TaskStatus reported) {
    return task.exitedRecord() != ExitedRecord.NONE && reported.cause() != ExitCause.DONE;
  }

  /**
   * Has the record of an earlier run removed, so that the attempt can be started again, or unbinds
   * the task if it is not wanted any more. The reply to a direct command does not show that the
   * record is kept: the response with its removal may still be on its way.
   */
  private void reconcileEarlierRun(WorkerReport report, Task task, CommandBatch commands) {
    if (!report.isCurrent() || report.source() != ReportSource.HEARTBEAT) {
      return;
    }
    if (task.phase() == TaskPhase.STOPPING) {
      clusterState.unbind(task, "stopped before it started again", report.nowMicros());
    } else {
      commands.remove(task.name(), task.attempt());
    }
  }

  /** Records that the removal of an attempt was sent to the machine's worker. */
  static void onRemovalSent(Machine machine, WorkerCommand removal) {
    Task task = machine.task(removal.task());
    boolean bound = task != null && task.attempt() == removal.attempt();
    if (bound && task.exitedRecord() == ExitedRecord.KEPT) {
      task.exitedRecord(ExitedRecord.REMOVAL_SENT);
    }
  }

  /**
   * True if the worker has to keep reporting the attempt. A result is reported until it is durable,
   * so that no leader can miss it.
   */
  private static boolean mustStayReported(Machine machine, Job job, TaskStatus reported) {
    if (machine.directCommands().hasStartedAttempt(reported.attempt())) {
      return true;
    }
    return reported.cause() == ExitCause.DONE
        && job != null
        && (job.mayStillComplete() || job.phase() == JobPhase.FINALIZING)
        && !job.storedState().doneTasks().get(reported.name().index());
  }

  private void onExit(Machine machine, Task task, ExitCause cause, long nowMicros) {
    Job job = task.job();
    clusterState.unbind(task, "exited: " + cause, nowMicros);
    switch (cause) {
      case DONE -> {
        clusterState.markDone(job, task.index());
        quarantine.onTaskSucceeded(machine, nowMicros);
      }
      case ERROR -> {
        LOG.info("task failed: task={} machine={}", task.name(), machine.name());
        quarantine.onTaskFailed(machine, job, nowMicros);
      }
      case INSUFFICIENT_RESOURCES -> machine.startRefusedAt(nowMicros);
      case OTHER_ATTEMPT_RUNNING ->
          job.backoff().avoidMachine(machine.name(), nowMicros + ATTEMPT_CONFLICT_BACKOFF_MICROS);
      case JOB_NOT_FOUND -> job.backoff().delayUntil(nowMicros + UNKNOWN_JOB_BACKOFF_MICROS);
      case STOPPED, NONE -> {
        // the task is queued again
      }
    }
  }

  private void reconcileLive(WorkerReport report, TaskStatus reported, CommandBatch commands) {
    Machine machine = report.machine();
    TaskName name = reported.name();
    Task task = boundAttempt(machine, reported);
    if (task != null) {
      task.exitedRecord(ExitedRecord.NONE);
      updatePhase(task, reported.state(), report.nowMicros());
      return;
    }
    Job job = clusterState.jobs().get(name.jobId());
    if (!report.isCurrent()) {
      // Binding a task by a late copy would stop it on the machine where it really runs. An attempt
      // of a cancelled job is stopped, however old the heartbeat is.
      if (job != null && job.phase() == JobPhase.CANCELLED) {
        commands.stop(name, reported.attempt(), 0);
      }
      return;
    }
    if (job != null
        && !job.boundTasks().containsKey(name.index())
        && job.phase() != JobPhase.ENDED) {
      adopt(machine, job, reported, report.nowMicros());
    } else {
      LOG.info(
          "unknown attempt stopped: machine={} task={} attempt={}",
          machine.name(),
          name,
          reported.attempt());
      commands.stop(name, reported.attempt(), 0);
    }
  }

  /** Binds a task that an earlier leader started. */
  private void adopt(Machine machine, Job job, TaskStatus reported, long nowMicros) {
    TaskPhase phase = phase(reported.state());
    clusterState.bind(job, reported.name().index(), reported.attempt(), machine, phase, nowMicros);
    if (phase != TaskPhase.PULLING) {
      machine.recordImageFetched(job.spec());
    }
  }

  private static TaskPhase phase(TaskState state) {
    return switch (state) {
      case PULLING -> TaskPhase.PULLING;
      case RUNNING -> TaskPhase.RUNNING;
      case SAVING -> TaskPhase.STOPPING;
      case EXITED -> throw new IllegalArgumentException("an exited task has no phase");
    };
  }

  private static void updatePhase(Task task, TaskState state, long nowMicros) {
    if (task.phase() == TaskPhase.STOPPING) {
      return;
    }
    task.changePhase(phase(state), nowMicros);
    boolean replicaRuns = state == TaskState.RUNNING && task.spec().jobKind() == JobKind.SERVICE;
    if (replicaRuns && nowMicros - task.startedAt() > REPLICA_HEALTHY_AFTER_MICROS) {
      // A service never completes, so running for a while counts as a success.
      task.job().backoff().recordSuccess();
    }
  }

  // Tasks bound in the cluster state

  /** Updates a task that is bound here, after a report that shows the current state. */
  private void reconcileBound(WorkerReport report, Task task, CommandBatch commands) {
    long nowMicros = report.nowMicros();
    Job job = task.job();
    boolean needed = job.phase() == JobPhase.ACTIVE && !job.doneTasks().get(task.index());
    if (!needed && task.phase() != TaskPhase.STOPPING) {
      clusterState.stop(task, "no longer needed", nowMicros);
    }
    boolean reported = report.reports(task.name());
    if (!reported && task.exitedRecord() != ExitedRecord.NONE) {
      // The worker no longer knows the attempt, so a late copy of the earlier start may begin it.
      task.exitedRecord(ExitedRecord.NONE);
      task.directStart(DirectStart.LOST);
    }
    switch (task.phase()) {
      case ASSIGNED -> {
        if (task.exitedRecord() == ExitedRecord.NONE) {
          commands.start(task);
        }
      }
      case STARTING -> {
        // The response with the start was dropped: this heartbeat was sent afterwards.
        if (!reported) {
          commands.start(task);
        }
      }
      case PULLING, RUNNING -> {
        if (!reported && !task.directStartUnresolved()) {
          clusterState.unbind(task, "no longer reported", nowMicros);
        }
      }
      case STOPPING -> reconcileStopping(report, task, commands);
      case GONE -> {
        // nothing to do
      }
    }
  }

  private void reconcileStopping(WorkerReport report, Task task, CommandBatch commands) {
    if (report.reports(task.name())) {
      commands.stop(task.name(), task.attempt(), graceMicros(task, report.nowMicros()));
    } else if (task.directStartUnresolved()) {
      commands.startAndStop(task);
    } else if (report.source() == ReportSource.HEARTBEAT) {
      // The reply to a direct command proves nothing here: the response with the start may still be
      // on its way. Only the next heartbeat is sent after that response was processed or dropped.
      clusterState.unbind(task, "stopped before it started", report.nowMicros());
    }
  }

  private static long graceMicros(Task task, long nowMicros) {
    if (task.job().phase() != JobPhase.ACTIVE || task.spec().checkpointIntervalMicros() == 0) {
      return 0;
    }
    long grace = task.spec().checkpointDurationMicros() + STOP_GRACE_MARGIN_MICROS;
    boolean overdue = nowMicros - task.phaseSince() > grace + STOP_GRACE_MARGIN_MICROS;
    return overdue ? 0 : grace;
  }
}
