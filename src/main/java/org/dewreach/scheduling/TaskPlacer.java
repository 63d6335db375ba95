package org.dewreach.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.placement.QueueOrder;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Places pending tasks in the order of the queue. A job that does not fit does not block the jobs
 * behind it.
 */
public final class TaskPlacer {
  private static final Logger LOG = LoggerFactory.getLogger(TaskPlacer.class);

  /**
   * If a job fails repeatedly, each of its tasks is observed for this long before the next one is
   * started.
   */
  private static final long PROBE_MICROS = 30_000_000;

  /** Bounds the work of one pass; the remaining tasks are placed in the next pass. */
  private static final int MAX_TASKS_PER_PASS = 400;

  private final ClusterState clusterState;
  private final QueueOrder queueOrder;
  private final long wallOffsetMicros;
  private final RepeatedFailureCapacity repeatedFailureCapacity = new RepeatedFailureCapacity();
  private final Map<String, Long> startWithinMicrosByClass = new HashMap<>();

  /**
   * Creates the placer of one term.
   *
   * @param objectives the objectives, of which only those of kind START_WITHIN are used
   * @param tuning overrides the start times of the objectives
   * @param wallOffsetMicros wall-clock time minus event time
   */
  public TaskPlacer(
      ClusterState clusterState,
      QueueOrder queueOrder,
      List<Settings.Objective> objectives,
      Tuning tuning,
      long wallOffsetMicros) {
    this.clusterState = clusterState;
    this.queueOrder = queueOrder;
    this.wallOffsetMicros = wallOffsetMicros;
    for (Settings.Objective objective : objectives) {
      if (objective.kind() == Settings.ObjectiveKind.START_WITHIN && objective.jobClass() != null) {
        startWithinMicrosByClass.merge(objective.jobClass(), objective.withinMicros(), Math::min);
      }
    }
    startWithinMicrosByClass.putAll(tuning.startWithinMicros());
  }

  /**
   * Runs one placement pass, and returns the tasks that could not be placed.
   *
   * @param allTasksKnown false for jobs whose tasks may be running on a machine of an earlier term
   *     that is not reconciled yet: none of their tasks is started, and all their pending tasks
   *     count against the quota
   * @param bootMicros the time that a new machine takes to become usable; headroom is kept for the
   *     services that arrive in the meantime
   */
  public List<UnplacedTasks> placeTasks(
      long nowMicros, Predicate<Job> allTasksKnown, long bootMicros) {
    Map<Job, Integer> unreconciled = reserveQuotaOfUnreconciledJobs(allTasksKnown);
    List<Job> queue =
        queueOrder.order(
            clusterState.jobs().values(),
            job -> job.startable() && job.pendingCount() > 0 && !unreconciled.containsKey(job),
            nowMicros + wallOffsetMicros);
    clusterState.sortedMachines().invalidateIndex();
    Pass pass = new Pass(nowMicros, bootMicros);
    queue.forEach(pass::place);
    unreconciled.forEach((job, tasks) -> clusterState.quotas().add(job.spec(), -tasks));
    if (pass.isFull()) {
      clusterState.requestPlacement();
    }
    return pass.unplaced;
  }

  private Map<Job, Integer> reserveQuotaOfUnreconciledJobs(Predicate<Job> allTasksKnown) {
    Map<Job, Integer> unreconciled = new HashMap<>();
    for (Job job : clusterState.jobs().values()) {
      int pending = allTasksKnown.test(job) ? 0 : job.pendingCount();
      if (pending > 0) {
        clusterState.quotas().add(job.spec(), pending);
        unreconciled.put(job, pending);
      }
    }
    return unreconciled;
  }

  /**
   * True while a recently bound task is observed to see whether the job still fails.
   *
   * <p>Guards against a job that fails everywhere, but only after a while: given one task in each
   * pass, it held more and more capacity until the first of them failed. Also guards against an
   * array job of long tasks that is blocked after failures on two faulty machines: because the
   * observation time is limited, its other tasks do not wait until one of them has completed.
   */
  private static boolean hasProbeTask(Job job, long nowMicros) {
    return job.backoff().failsRepeatedly()
        && job.boundTasks().values().stream()
            .anyMatch(task -> nowMicros - task.boundAt() < PROBE_MICROS);
  }

  /**
   * One placement pass: the number of tasks placed so far, and the tasks that could not be placed.
   */
  private final class Pass {
    private final long nowMicros;
    private final long wallMicros;
    private final ServiceHeadroom headroom;
    private final Set<String> unplaceable = new HashSet<>();
    private final List<UnplacedTasks> unplaced = new ArrayList<>();
    private int placed;

    Pass(long nowMicros, long bootMicros) {
      this.nowMicros = nowMicros;
      this.wallMicros = nowMicros + wallOffsetMicros;
      this.headroom =
          new ServiceHeadroom(
              clusterState, clusterState.serviceArrivalRate().headroomCpus(bootMicros, nowMicros));
    }

    boolean isFull() {
      return placed >= MAX_TASKS_PER_PASS;
    }

    void place(Job job) {
      headroom.beforePlacing(job.spec());
      if (job.backoff().notBefore() > nowMicros || hasProbeTask(job, nowMicros)) {
        return;
      }
      int withinQuota = clusterState.quotas().startableTasks(job.spec(), job.pendingCount());
      if (withinQuota == 0) {
        return;
      }
      int started = isFull() ? 0 : tryToPlace(job, withinQuota);
      placed += started;
      int left = tasksWorthCapacity(job, withinQuota, started);
      if (left > 0) {
        unplaced.add(new UnplacedTasks(job, left));
      }
    }

    /** Returns for how many of the remaining tasks machines may be rented. */
    private int tasksWorthCapacity(Job job, int withinQuota, int started) {
      return job.backoff().failsRepeatedly()
          ? repeatedFailureCapacity.tasksToRequest(job, started, nowMicros)
          : withinQuota - started;
    }

    private int tryToPlace(Job job, int withinQuota) {
      boolean exempt = ServiceHeadroom.isExempt(job, nowMicros, wallOffsetMicros);
      String equivalenceKey = equivalenceKey(job, exempt);
      if (unplaceable.contains(equivalenceKey)) {
        return 0;
      }
      JobPlacement placement = newPlacement(job, exempt, false);
      int limit = taskLimit(job, withinQuota);
      int started = placement.place(limit);
      if (started > 0) {
        return started;
      }
      if (job.backoff().failsRepeatedly()) {
        // Guards against a job that waits beside machines on which it failed.
        started = newPlacement(job, exempt, true).place(limit);
        if (started == 0) {
          uncordonOneFor(job);
        }
        return started;
      }
      unplaceable.add(equivalenceKey);
      return 0;
    }

    /**
     * Uncordons the first cordoned machine on which a task of the job fits; the next pass uses it.
     *
     * <p>Guards against a job that fails repeatedly and waits beside cordoned machines: it rarely
     * counts as unplaced, which is what ends the cordon of machines for other jobs.
     */
    private void uncordonOneFor(Job job) {
      Predicate<Machine> allowed = MachineFilter.forJob(job, true, nowMicros);
      for (Machine machine : clusterState.sortedMachines().machines()) {
        if (machine.cordoned()
            && machine.schedulableOnceUncordoned()
            && SortFirstFit.covers(machine, job.spec())
            && allowed.test(machine)) {
          LOG.info("machine uncordoned: machine={} for_job={}", machine.name(), job.id());
          machine.cordoned(false);
          clusterState.sortedMachines().updateCapacity(machine);
          clusterState.requestPlacement();
          return;
        }
      }
    }

    private JobPlacement newPlacement(Job job, boolean exempt, boolean retryWhereFailed) {
      long startWithinMicros = startWithinMicrosByClass.getOrDefault(job.spec().jobClass(), 0L);
      return new JobPlacement(
          clusterState, headroom, job, exempt, retryWhereFailed, startWithinMicros, nowMicros);
    }

    /** Returns a key that is equal for jobs that fit on the same machines. */
    private String equivalenceKey(Job job, boolean exempt) {
      JobSpec spec = job.spec();
      boolean gang = spec.jobKind() == JobKind.GANG;
      boolean interdependent = spec.sameZone() || spec.spreadZones() || gang;
      if (interdependent || exempt || !job.backoff().avoidedMachines(nowMicros).isEmpty()) {
        return job.id();
      }
      return SortFirstFit.equivalenceKey(spec) + ServiceHeadroom.appliesTo(spec);
    }

    /** Returns the maximum number of tasks of the job to place in this pass. */
    private int taskLimit(Job job, int withinQuota) {
      boolean oneTaskOnly =
          job.backoff().failsRepeatedly() || QueueOrder.isStarved(job, wallMicros);
      // Guards against a service whose replicas must share a zone and that loses all of them long
      // after its acceptance: it then counts as starved, but a limit of one task would keep it from
      // ever being placed.
      if (oneTaskOnly && !JobPlacement.isAllOrNothing(job)) {
        return 1;
      }
      // A gang must be placed within one pass, even if it is larger than the limit of a pass.
      boolean gang = job.spec().jobKind() == JobKind.GANG;
      return gang ? withinQuota : Math.min(withinQuota, MAX_TASKS_PER_PASS - placed);
    }
  }
}
