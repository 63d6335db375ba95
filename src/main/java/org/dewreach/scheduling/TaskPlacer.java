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
import org.dewreach.placement.QueueOrder;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;

/** Walks the queue and places what fits. A job that does not fit does not stop those behind it. */
public final class TaskPlacer {
  /**
   * A task of a job that fails repeatedly is given this long to fail before the next is started. A
   * default of this project.
   */
  private static final long TRIAL_MICROS = 30_000_000;

  /** Bounds the work of one pass; what is left is placed in the next. */
  private static final int MAX_PLACED = 400;

  private final ClusterState clusterState;
  private final QueueOrder queueOrder;
  private final long wallOffsetMicros;
  private final Map<String, Long> startWithin = new HashMap<>();

  /**
   * A placer of one term.
   *
   * @param objectives of which those on starting are regarded
   * @param tuning overrides these
   * @param wallOffsetMicros what to add to the time of events for the time of day
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
        startWithin.merge(objective.jobClass(), objective.withinMicros(), Math::min);
      }
    }
    startWithin.putAll(tuning.startWithinMicros());
  }

  /**
   * Makes one placement pass, and tells what fitted nowhere.
   *
   * @param allTasksKnown false for jobs of which tasks may run unseen, as long as some machine of
   *     an earlier term is not reconciled: of these nothing is started, and all of it counts
   * @param bootMicros time that a new machine takes; room is kept for services that come meanwhile
   */
  public List<UnplacedTasks> placeTasks(
      long nowMicros, Predicate<Job> allTasksKnown, long bootMicros) {
    Map<Job, Integer> unseen = reserveQuotaOfUnseenTasks(allTasksKnown);
    List<Job> queue =
        queueOrder.order(
            clusterState.jobs().values(),
            job -> job.startable() && job.pendingCount() > 0 && !unseen.containsKey(job),
            nowMicros + wallOffsetMicros);
    clusterState.sortedMachines().invalidateIndex();
    Pass pass = new Pass(nowMicros, bootMicros);
    queue.forEach(pass::place);
    unseen.forEach((job, tasks) -> clusterState.quotas().add(job.spec(), -tasks));
    if (pass.isFull()) {
      clusterState.requestPlacement();
    }
    return pass.unplaced;
  }

  private Map<Job, Integer> reserveQuotaOfUnseenTasks(Predicate<Job> allTasksKnown) {
    Map<Job, Integer> unseen = new HashMap<>();
    for (Job job : clusterState.jobs().values()) {
      int pending = allTasksKnown.test(job) ? 0 : job.pendingCount();
      if (pending > 0) {
        clusterState.quotas().add(job.spec(), pending);
        unseen.put(job, pending);
      }
    }
    return unseen;
  }

  /**
   * True while a task that was bound lately shows whether the job still fails.
   *
   * <p>Guards against a job that fails everywhere, but only after a while: given one task in each
   * pass, it held ever more room until the first of them failed. And against an array of long tasks
   * that met two faulty machines: its other tasks do not wait until one of them has completed.
   */
  private static boolean isOnTrial(Job job, long nowMicros) {
    return job.backoff().failsRepeatedly()
        && job.boundTasks().values().stream()
            .anyMatch(task -> nowMicros - task.boundAt() < TRIAL_MICROS);
  }

  /** What one pass has placed so far, and what it could not place. */
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
              clusterState, clusterState.serviceRate().headroomCpus(bootMicros, nowMicros));
    }

    boolean isFull() {
      return placed >= MAX_PLACED;
    }

    void place(Job job) {
      headroom.beforePlacing(job.spec());
      if (job.backoff().notBefore() > nowMicros || isOnTrial(job, nowMicros)) {
        return;
      }
      int withinQuota = clusterState.quotas().startableTasks(job.spec(), job.pendingCount());
      if (withinQuota == 0) {
        return;
      }
      int started = isFull() ? 0 : tryToPlace(job, withinQuota);
      placed += started;
      // Nothing is rented, and nobody stopped, for a job that fails everywhere.
      if (started < withinQuota && !job.backoff().failsRepeatedly()) {
        unplaced.add(new UnplacedTasks(job, withinQuota - started));
      }
    }

    private int tryToPlace(Job job, int withinQuota) {
      boolean exempt = ServiceHeadroom.isExempt(job, wallMicros);
      String equivalenceKey = equivalenceKey(job, exempt);
      if (unplaceable.contains(equivalenceKey)) {
        return 0;
      }
      long startWithinMicros = startWithin.getOrDefault(job.spec().jobClass(), 0L);
      JobPlacement placement =
          new JobPlacement(clusterState, headroom, job, exempt, startWithinMicros, nowMicros);
      int started = placement.place(limit(job, withinQuota));
      if (started == 0 && !placement.blockedByDirectStart() && !job.backoff().failsRepeatedly()) {
        unplaceable.add(equivalenceKey);
      }
      return started;
    }

    /** Jobs with the same key fit on the same machines. */
    private String equivalenceKey(Job job, boolean exempt) {
      JobSpec spec = job.spec();
      boolean gang = spec.jobKind() == JobKind.GANG;
      boolean placedTogether = spec.sameZone() || spec.spreadZones() || gang;
      if (placedTogether || exempt || !job.backoff().avoidedMachines(nowMicros).isEmpty()) {
        return job.id();
      }
      return SortFirstFit.equivalenceKey(spec) + ServiceHeadroom.appliesTo(spec);
    }

    /** How many tasks of the job to place in this pass. */
    private int limit(Job job, int withinQuota) {
      boolean single = job.backoff().failsRepeatedly() || QueueOrder.isStarved(job, wallMicros);
      // Guards against replicas that need each other's zone and lost it late: never one alone.
      if (single && !JobPlacement.isAllOrNothing(job)) {
        return 1;
      }
      // A gang larger than a pass has to be placed in one all the same.
      boolean gang = job.spec().jobKind() == JobKind.GANG;
      return gang ? withinQuota : Math.min(withinQuota, MAX_PLACED - placed);
    }
  }
}
