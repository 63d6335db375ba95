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

/** Derives from the unplaced tasks how much capacity is worth renting. */
public final class CapacityDemand {
  private static final double MICROS_PER_SECOND = 1e6;

  /** What a task takes besides its own run. */
  private static final int TASK_OVERHEAD_S = 3;

  private static final long TASK_OVERHEAD_MICROS = 3_000_000;

  /** Work that is done within this time is not spread over more machines. */
  private static final long MIN_HORIZON_MICROS = 15_000_000;

  private static final double MIN_PATIENCE_S = 10;

  /** The slack of a job without an objective: more than any other, and safe to add to. */
  private static final long UNLIMITED_SLACK_MICROS = Long.MAX_VALUE / 4;

  private final ClusterState clusterState;
  private final Tuning tuning;
  private final QueueOrder order;
  private final long wallOffsetMicros;

  /**
   * The demand of one term.
   *
   * @param wallOffsetMicros time of day less event time
   */
  public CapacityDemand(
      ClusterState clusterState, Settings settings, Tuning tuning, long wallOffsetMicros) {
    this.clusterState = clusterState;
    this.tuning = tuning;
    this.order = new QueueOrder(settings.teams(), settings.objectives());
    this.wallOffsetMicros = wallOffsetMicros;
  }

  /** The unplaced tasks that are worth machines of their own. */
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

  /** True if the machines that are there would work on the unplaced batch tasks for too long. */
  boolean hasLongBacklog(List<UnplacedTasks> unplaced, long nowMicros) {
    double backlogCpuS = 0;
    double weightedPatience = 0;
    for (UnplacedTasks item : unplaced) {
      JobSpec spec = item.job().spec();
      if (spec.spot()) {
        double cpuS =
            item.tasks()
                * spec.cpus()
                * (spec.expectedMicros() / MICROS_PER_SECOND + TASK_OVERHEAD_S);
        backlogCpuS += cpuS;
        weightedPatience += cpuS * patienceS(item.job(), nowMicros);
      }
    }
    return backlogCpuS > 0 && backlogCpuS > batchCpus() * weightedPatience / backlogCpuS;
  }

  /** The CPUs that batch tasks have or could have. */
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

  /** How many of the unplaced tasks are worth a machine of their own, rather than a wait. */
  private int tasksWorthRenting(UnplacedTasks item, long nowMicros) {
    Job job = item.job();
    JobSpec spec = job.spec();
    if (spec.jobKind() == JobKind.SERVICE) {
      return item.tasks();
    }
    // In floating point: the owner's estimate may be anything.
    double work = (double) job.pendingCount() * (spec.expectedMicros() + TASK_OVERHEAD_MICROS);
    int parallel =
        (int) Math.min(job.pendingCount(), Math.ceil(work / horizonMicros(job, nowMicros)));
    return Math.min(item.tasks(), Math.max(0, parallel - job.boundTasks().size()));
  }

  /** Within what time a job's pending tasks are to be done: half of what its objective leaves. */
  private long horizonMicros(Job job, long nowMicros) {
    long horizon =
        hasObjective(job)
            ? Math.max(job.spec().expectedMicros(), dueInMicros(job, nowMicros) / 2)
            : tuning.workOffMicros();
    return Math.max(horizon, MIN_HORIZON_MICROS);
  }

  private boolean hasObjective(Job job) {
    return order.completionTargetMicros(job.spec()) >= 0;
  }

  /** Time until the job is to be done by its objective; negative if that is past. */
  private long dueInMicros(Job job, long nowMicros) {
    long submittedAt = job.acceptedWallMicros() - wallOffsetMicros;
    return submittedAt + order.completionTargetMicros(job.spec()) - nowMicros;
  }

  private long slackMicros(Job job, long nowMicros) {
    return hasObjective(job)
        ? dueInMicros(job, nowMicros) - job.spec().expectedMicros()
        : UNLIMITED_SLACK_MICROS;
  }

  /** How long work can wait for machines that are there: half of the time that it has left. */
  private double patienceS(Job job, long nowMicros) {
    double longWaitS = tuning.longWaitMicros() / MICROS_PER_SECOND;
    if (!hasObjective(job)) {
      return longWaitS;
    }
    double spareS = slackMicros(job, nowMicros) / (2 * MICROS_PER_SECOND);
    return Math.max(MIN_PATIENCE_S, Math.min(longWaitS, spareS));
  }
}
