package org.dewreach.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.placement.QueueOrder;
import org.dewreach.scheduling.UnplacedTasks;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;

/** Computes how much capacity is worth renting for the unplaced tasks. */
public final class CapacityDemand {
  private static final double MICROS_PER_SECOND = 1e6;

  /** Time that a task takes in addition to its run time. */
  private static final int TASK_OVERHEAD_S = 3;

  private static final long TASK_OVERHEAD_MICROS = 3_000_000;

  /** Work that can be completed within this time is not spread over more machines. */
  private static final long MIN_HORIZON_MICROS = 15_000_000;

  /** The shortest result of {@link #waitLimitS}. */
  private static final double MIN_WAIT_LIMIT_S = 10;

  /**
   * The slack of a job without a completion target: larger than any other, but small enough to be
   * added to without overflow.
   */
  private static final long UNLIMITED_SLACK_MICROS = Long.MAX_VALUE / 4;

  private final ClusterState clusterState;
  private final Tuning tuning;
  private final QueueOrder order;
  private final long wallOffsetMicros;

  /**
   * Creates the demand of one term.
   *
   * @param wallOffsetMicros wall-clock time minus event time
   */
  public CapacityDemand(
      ClusterState clusterState, Settings settings, Tuning tuning, long wallOffsetMicros) {
    this.clusterState = clusterState;
    this.tuning = tuning;
    this.order = new QueueOrder(settings.teams(), settings.objectives());
    this.wallOffsetMicros = wallOffsetMicros;
  }

  /** Returns the requirements of the unplaced tasks that are worth additional machines. */
  List<CapacityRequirement> requirements(List<UnplacedTasks> unplaced, long nowMicros) {
    List<CapacityRequirement> requirements = new ArrayList<>();
    for (UnplacedTasks item : unplaced) {
      int tasks = tasksWorthRenting(item, nowMicros);
      if (tasks > 0) {
        Job job = item.job();
        requirements.add(
            new CapacityRequirement(
                job.spec(), tasks, slackMicros(job, nowMicros), job.boundCountByZone()));
      }
    }
    return requirements;
  }

  /**
   * True if the existing machines would take too long to complete the unplaced batch tasks, which
   * are those that may run on spot machines.
   */
  boolean hasLongBacklog(List<UnplacedTasks> unplaced, long nowMicros) {
    double backlogCpuS = 0;
    double weightedWaitLimitS = 0;
    for (UnplacedTasks item : unplaced) {
      JobSpec spec = item.job().spec();
      if (spec.spot()) {
        double cpuS =
            item.tasks()
                * spec.cpus()
                * (spec.expectedMicros() / MICROS_PER_SECOND + TASK_OVERHEAD_S);
        backlogCpuS += cpuS;
        weightedWaitLimitS += cpuS * waitLimitS(item.job(), nowMicros);
      }
    }
    return backlogCpuS > 0 && backlogCpuS > batchCpus() * weightedWaitLimitS / backlogCpuS;
  }

  /** Returns the number of CPUs that batch tasks use or could use. */
  private double batchCpus() {
    double batchCpus = 0;
    for (Machine machine : clusterState.machines().values()) {
      boolean counts =
          machine.phase() == MachinePhase.UP || machine.phase() == MachinePhase.BOOTING;
      if (counts && machine.spot()) {
        batchCpus += machine.type().cpus();
      } else if (counts) {
        batchCpus += machine.freeCpus();
        for (Task task : machine.tasks()) {
          batchCpus += task.spec().spot() ? task.spec().cpus() : 0;
        }
      }
    }
    return batchCpus;
  }

  /** Returns the number of unplaced tasks for which renting machines is better than waiting. */
  private int tasksWorthRenting(UnplacedTasks item, long nowMicros) {
    Job job = item.job();
    JobSpec spec = job.spec();
    if (spec.jobKind() == JobKind.SERVICE) {
      return item.tasks();
    }
    // Floating point avoids an overflow: the user's estimate of the run time may be any number.
    double work = (double) job.pendingCount() * (spec.expectedMicros() + TASK_OVERHEAD_MICROS);
    int parallel =
        (int) Math.min(job.pendingCount(), Math.ceil(work / horizonMicros(job, nowMicros)));
    return Math.min(item.tasks(), Math.max(0, parallel - job.boundTasks().size()));
  }

  /**
   * Returns the time within which a job's pending tasks are to be completed: half of the time that
   * its completion target leaves, but at least the run time of a task; a configured time if the job
   * has no target.
   */
  private long horizonMicros(Job job, long nowMicros) {
    long horizon =
        hasCompletionTarget(job)
            ? Math.max(job.spec().expectedMicros(), timeToTargetMicros(job, nowMicros) / 2)
            : tuning.backlogHorizonMicros();
    return Math.max(horizon, MIN_HORIZON_MICROS);
  }

  private boolean hasCompletionTarget(Job job) {
    return order.completionTargetMicros(job.spec()) >= 0;
  }

  /** Returns the time until the job's completion target; negative if that time has passed. */
  private long timeToTargetMicros(Job job, long nowMicros) {
    long acceptedAt = job.acceptedWallMicros() - wallOffsetMicros;
    return acceptedAt + order.completionTargetMicros(job.spec()) - nowMicros;
  }

  private long slackMicros(Job job, long nowMicros) {
    return hasCompletionTarget(job)
        ? timeToTargetMicros(job, nowMicros) - job.spec().expectedMicros()
        : UNLIMITED_SLACK_MICROS;
  }

  /**
   * Returns how long the tasks of a job can wait for existing machines: half of their slack, within
   * a minimum and the configured maximum; the maximum if the job has no target.
   */
  private double waitLimitS(Job job, long nowMicros) {
    double maxWaitS = tuning.maxSpotWaitMicros() / MICROS_PER_SECOND;
    if (!hasCompletionTarget(job)) {
      return maxWaitS;
    }
    double halfSlackS = slackMicros(job, nowMicros) / (2 * MICROS_PER_SECOND);
    return Math.max(MIN_WAIT_LIMIT_S, Math.min(maxWaitS, halfSlackS));
  }
}
