package org.dewreach.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.autoscaling.ScalingPlanner.Need;
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

/** Derives from the waiting tasks what is worth renting machines for. */
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

  public CapacityDemand(
      ClusterState clusterState, Settings settings, Tuning tuning, long wallOffsetMicros) {
    this.clusterState = clusterState;
    this.tuning = tuning;
    this.order = new QueueOrder(settings.teams(), settings.objectives());
    this.wallOffsetMicros = wallOffsetMicros;
  }

  /** The waiting tasks that are worth machines of their own. */
  List<Need> needs(List<UnplacedTasks> waiting, long nowMicros) {
    List<Need> needs = new ArrayList<>();
    for (UnplacedTasks item : waiting) {
      int tasks = worthRenting(item, nowMicros);
      if (tasks > 0) {
        Job job = item.job();
        needs.add(new Need(job.spec(), tasks, slackMicros(job, nowMicros), job.boundInZones()));
      }
    }
    return needs;
  }

  /** True if the machines that are there would work on the waiting batch tasks for too long. */
  boolean longBacklog(List<UnplacedTasks> waiting, long nowMicros) {
    double backlog = 0;
    double patience = 0;
    for (UnplacedTasks item : waiting) {
      JobSpec spec = item.job().spec();
      if (spec.spot()) {
        double work =
            item.tasks()
                * spec.cpus()
                * (spec.expectedMicros() / MICROS_PER_SECOND + TASK_OVERHEAD_S);
        backlog += work;
        patience += work * patienceS(item.job(), nowMicros);
      }
    }
    return backlog > 0 && backlog > batchCpus() * patience / backlog;
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

  /** How many of the waiting tasks are worth a machine of their own, rather than a wait. */
  private int worthRenting(UnplacedTasks item, long nowMicros) {
    Job job = item.job();
    JobSpec spec = job.spec();
    if (spec.jobKind() == JobKind.SERVICE) {
      return item.tasks();
    }
    long horizon = tuning.workOffMicros();
    long allowed = order.completionTargetMicros(spec);
    if (allowed >= 0) {
      long dueAt = job.acceptedWallMicros() - wallOffsetMicros + allowed;
      horizon = Math.max(spec.expectedMicros(), (dueAt - nowMicros) / 2);
    }
    horizon = Math.max(horizon, MIN_HORIZON_MICROS);
    // In floating point: the owner's estimate may be anything.
    double work = (double) job.pending() * (spec.expectedMicros() + TASK_OVERHEAD_MICROS);
    int slots = (int) Math.min(job.pending(), Math.ceil(work / horizon));
    return Math.min(item.tasks(), Math.max(0, slots - job.bound().size()));
  }

  private long slackMicros(Job job, long nowMicros) {
    long allowed = order.completionTargetMicros(job.spec());
    long dueAt = job.acceptedWallMicros() - wallOffsetMicros + allowed;
    return allowed < 0 ? UNLIMITED_SLACK_MICROS : dueAt - nowMicros - job.spec().expectedMicros();
  }

  /** How long work can wait for machines that are there: half of the time that it has left. */
  private double patienceS(Job job, long nowMicros) {
    double longWaitS = tuning.longWaitMicros() / MICROS_PER_SECOND;
    long allowed = order.completionTargetMicros(job.spec());
    if (allowed < 0) {
      return longWaitS;
    }
    long dueAt = job.acceptedWallMicros() - wallOffsetMicros + allowed;
    double spareS = (dueAt - nowMicros - job.spec().expectedMicros()) / (2 * MICROS_PER_SECOND);
    return Math.max(MIN_PATIENCE_S, Math.min(longWaitS, spareS));
  }
}
