package org.dewreach.heartbeat;

import java.util.List;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.Heartbeat.Cause;
import org.dewreach.wire.Heartbeat.TaskState;
import org.dewreach.wire.Heartbeat.TaskStatus;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.TaskName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reconciles the tasks that a heartbeat reports with those that the cluster state binds there. */
final class TaskReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskReconciler.class);

  /** What a stop may take beyond the time that saving takes. */
  private static final long GRACE_SLACK_MICROS = 5_000_000;

  /** A replica that has run for this long works there. A default of this project. */
  private static final long RUNS_WELL_MICROS = 30_000_000;

  /**
   * Pause after a worker refused a task because another attempt of it runs there: that one is
   * stopped with the next heartbeats. A default of this project.
   */
  private static final long IN_USE_PAUSE_MICROS = 10_000_000;

  /** Pause of a job whose image does not exist. */
  private static final long MISSING_IMAGE_PAUSE_MICROS = 2_000_000;

  private final ClusterState clusterState;
  private final QuarantinePolicy quarantine;

  TaskReconciler(ClusterState clusterState) {
    this.clusterState = clusterState;
    this.quarantine = new QuarantinePolicy(clusterState);
  }

  /** Updates the cluster state, and collects the commands that the heartbeat calls for. */
  CommandBatch reconcile(Observation observation) {
    CommandBatch commands = new CommandBatch();
    for (TaskStatus reported : observation.heartbeat().tasks()) {
      if (reported.state() == TaskState.EXITED) {
        reconcileExited(observation, reported, commands);
      } else {
        reconcileLive(observation, reported, commands);
      }
    }
    if (observation.isCurrent()) {
      for (Task task : List.copyOf(observation.machine().tasks())) {
        reconcileBound(observation, task, commands);
      }
    }
    return commands;
  }

  /** The bound task that the worker reports, or null if another attempt or none is bound there. */
  private static Task boundAttempt(Machine machine, TaskStatus reported) {
    Task task = machine.task(reported.name());
    return task != null && task.attempt() == reported.attempt() ? task : null;
  }

  // What the worker reports.

  private void reconcileExited(
      Observation observation, TaskStatus reported, CommandBatch commands) {
    Machine machine = observation.machine();
    TaskName name = reported.name();
    Job job = clusterState.jobs().get(name.jobId());
    Task task = boundAttempt(machine, reported);
    if (task != null) {
      onExit(machine, task, reported.cause(), observation.nowMicros());
    } else if (reported.cause() == Cause.DONE && job != null) {
      // Known from an earlier term, or from an attempt that was taken for gone.
      clusterState.markDone(job, name.index());
    }
    if (!mustStayReported(machine, job, reported)) {
      commands.remove(name, reported.attempt());
    }
  }

  /** A result stays in the heartbeats until it is durable, so that no leader can miss it. */
  private static boolean mustStayReported(Machine machine, Job job, TaskStatus reported) {
    if (machine.directCommands().hasStartedAttempt(reported.attempt())) {
      return true;
    }
    return reported.cause() == Cause.DONE
        && job != null
        && (job.mayStillComplete() || job.phase() == JobPhase.FINALIZING)
        && !job.storedState().doneTasks().get(reported.name().index());
  }

  private void onExit(Machine machine, Task task, Cause cause, long nowMicros) {
    Job job = task.job();
    clusterState.unbind(task, "exited: " + cause, nowMicros);
    switch (cause) {
      case DONE -> {
        clusterState.markDone(job, task.index());
        quarantine.onTaskSucceeded(machine);
      }
      case ERROR -> {
        LOG.info("task failed: task={} machine={}", task.name(), machine.name());
        quarantine.onTaskFailed(machine, job, nowMicros);
      }
      case FULL -> machine.startRefusedAt(nowMicros);
      case IN_USE -> job.backoff().avoidMachine(machine.name(), nowMicros + IN_USE_PAUSE_MICROS);
      case NO_SUCH -> job.backoff().delayUntil(nowMicros + MISSING_IMAGE_PAUSE_MICROS);
      case STOPPED, NONE -> {
        // it goes back to the queue
      }
    }
  }

  private void reconcileLive(Observation observation, TaskStatus reported, CommandBatch commands) {
    Machine machine = observation.machine();
    TaskName name = reported.name();
    Task task = boundAttempt(machine, reported);
    if (task != null) {
      updatePhase(task, reported.state(), observation.nowMicros());
      return;
    }
    Job job = clusterState.jobs().get(name.jobId());
    if (!observation.isCurrent()) {
      // A task bound by a late copy would be stopped where it really runs. But an attempt of a
      // cancelled job is not wanted, however old the heartbeat is.
      if (job != null && job.phase() == JobPhase.CANCELLED) {
        commands.stop(name, reported.attempt(), 0);
      }
      return;
    }
    if (job != null
        && !job.boundTasks().containsKey(name.index())
        && job.phase() != JobPhase.ENDED) {
      adopt(machine, job, reported, observation.nowMicros());
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
    task.become(phase(state), nowMicros);
    boolean replicaRuns = state == TaskState.RUNNING && task.spec().jobKind() == JobKind.SERVICE;
    if (replicaRuns && nowMicros - task.startedAt() > RUNS_WELL_MICROS) {
      // A service never completes: that it runs for a while says as much.
      task.job().backoff().recordSuccess();
    }
  }

  // What the cluster state binds.

  /** What a task that is bound here needs, after a heartbeat that shows the present state. */
  private void reconcileBound(Observation observation, Task task, CommandBatch commands) {
    long nowMicros = observation.nowMicros();
    Job job = task.job();
    boolean wanted = job.phase() == JobPhase.ACTIVE && !job.doneTasks().get(task.index());
    if (!wanted && task.phase() != TaskPhase.STOPPING) {
      clusterState.stop(task, "not wanted any more", nowMicros);
    }
    boolean reported = observation.reports(task.name());
    switch (task.phase()) {
      case ASSIGNED -> commands.start(task);
      case STARTING -> {
        // The response with the start was dropped: this heartbeat was sent after that.
        if (!reported) {
          commands.start(task);
        }
      }
      case PULLING, RUNNING -> {
        if (!reported && !task.directStartUnresolved()) {
          clusterState.unbind(task, "not reported any more", nowMicros);
        }
      }
      case STOPPING -> reconcileStopping(observation, task, commands);
      case GONE -> {
        // nothing to do
      }
    }
  }

  private void reconcileStopping(Observation observation, Task task, CommandBatch commands) {
    if (observation.reports(task.name())) {
      commands.stop(task.name(), task.attempt(), graceMicros(task, observation.nowMicros()));
    } else if (task.directStartUnresolved()) {
      commands.startAndStop(task);
    } else if (observation.channel() == Channel.HEARTBEAT) {
      // The answer to a direct command proves nothing here: the response with the start may still
      // be on its way. Only the next heartbeat was sent after that was carried out or dropped.
      clusterState.unbind(task, "stopped before it started", observation.nowMicros());
    }
  }

  private static long graceMicros(Task task, long nowMicros) {
    if (task.job().phase() != JobPhase.ACTIVE || task.spec().checkpointIntervalMicros() == 0) {
      return 0;
    }
    long grace = task.spec().checkpointDurationMicros() + GRACE_SLACK_MICROS;
    boolean overdue = nowMicros - task.phaseSince() > grace + GRACE_SLACK_MICROS;
    return overdue ? 0 : grace;
  }
}
