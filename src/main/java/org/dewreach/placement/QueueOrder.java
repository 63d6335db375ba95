package org.dewreach.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.dewreach.config.Settings;
import org.dewreach.model.Job;
import org.dewreach.wire.JobSpec;

/**
 * The order in which waiting jobs are placed: by priority, then by guarantee, then by whether they
 * can still meet their completion target, then by age.
 *
 * <p>When there is more work than capacity, an order by age alone makes every job slightly late.
 * Therefore a job that can still meet its target goes before one that cannot, and among those that
 * can, the one with the least remaining work goes first: this maximizes the number of jobs that
 * meet their target.
 */
public final class QueueOrder {
  private static final Comparator<Job> BY_AGE =
      Comparator.comparingLong(Job::acceptedWallMicros).thenComparing(Job::id);

  /**
   * Expected time from placement to running: delivering the command, and often fetching an image.
   */
  private static final long TASK_START_MICROS = 4_000_000;

  /**
   * A job that misses its target but can finish within this many times the target is preferred to
   * one that would finish even later.
   */
  private static final double GRACE_FACTOR = 1.5;

  /** A job with less slack than this goes before jobs that can still wait. */
  private static final long URGENT_SLACK_MICROS = 20_000_000;

  /** Once a job has waited longer than this, some orderings go by age. */
  private static final long LONG_WAIT_THRESHOLD_MICROS = 150_000_000;

  /** Once a job has waited long, one in this many orderings goes by age. */
  private static final int AGE_ORDER_INTERVAL = 2;

  /**
   * A job waits no longer than this for its first task, provided that jobs of its priority get any
   * capacity.
   */
  private static final long STARVATION_THRESHOLD_MICROS = 140_000_000;

  /** The order among jobs of one priority, first band first. */
  private enum Band {
    /** Jobs that have waited too long for their first task. */
    STARVED,
    /** All other jobs, in an ordering that goes by age. */
    AGE_ORDERED,
    /** Jobs within their team's guarantee. */
    GUARANTEED,
    /** Jobs beyond their team's guarantee. */
    UNGUARANTEED
  }

  /** Whether a job can still meet its completion target. */
  private enum Timeliness {
    /** The job can meet its target only if it is placed soon. */
    URGENT,
    /** The job can meet its target with time to spare, or it has no target. */
    ON_TIME,
    /** The job misses its target but can still finish within the grace period. */
    WITHIN_GRACE,
    /** The job can only finish after the grace period. */
    LATE
  }

  /**
   * The sort key of a job.
   *
   * @param work remaining work in CPU-microseconds, or 0 if it is not compared
   */
  private record SortKey(Job job, Band band, Timeliness timeliness, double work) {
    /** A key that compares by priority, band and the job's age only. */
    SortKey(Job job, Band band) {
      this(job, band, Timeliness.URGENT, 0);
    }
  }

  private static final Comparator<SortKey> BY_SORT_KEY =
      Comparator.comparing((SortKey key) -> key.job().spec().priority())
          .thenComparing(SortKey::band)
          .thenComparing(SortKey::timeliness)
          .thenComparingDouble(SortKey::work)
          .thenComparing(SortKey::job, BY_AGE);

  private final Map<String, Settings.Team> teams;
  private final Map<String, Long> finishWithinMicrosByClass = new HashMap<>();
  private int orderingsWithLongWait;

  /**
   * Creates the order for the teams' guarantees and the objectives, of which only those of kind
   * FINISH_WITHIN are used.
   */
  public QueueOrder(Map<String, Settings.Team> teams, List<Settings.Objective> objectives) {
    this.teams = teams;
    for (Settings.Objective objective : objectives) {
      if (objective.kind() == Settings.ObjectiveKind.FINISH_WITHIN
          && objective.jobClass() != null) {
        finishWithinMicrosByClass.merge(objective.jobClass(), objective.withinMicros(), Math::min);
      }
    }
  }

  /**
   * Returns the waiting jobs in the order in which they are to be placed.
   *
   * <p>Guards against starvation of jobs that always have others ahead of them: large jobs under a
   * flood of small ones, late jobs, and jobs of a team without a guarantee. A {@linkplain
   * #isStarved starved} job comes first within its priority until it has one task. In addition,
   * once some job has waited long, every second ordering goes by age alone within each priority; so
   * every job gets capacity eventually, and most of the capacity still goes to jobs that can meet
   * their target.
   *
   * @param jobs all jobs, among which the guarantees are allotted
   * @param isWaiting selects the jobs to be ordered
   */
  public List<Job> order(Collection<Job> jobs, Predicate<Job> isWaiting, long wallMicros) {
    Set<Job> guaranteed = guaranteed(jobs);
    List<Job> waiting = jobs.stream().filter(isWaiting).toList();
    boolean byAge = shouldOrderByAge(waiting, wallMicros);
    List<SortKey> sortKeys = new ArrayList<>(waiting.size());
    for (Job job : waiting) {
      if (isStarved(job, wallMicros)) {
        sortKeys.add(new SortKey(job, Band.STARVED));
      } else if (byAge) {
        sortKeys.add(new SortKey(job, Band.AGE_ORDERED));
      } else {
        Band band = guaranteed.contains(job) ? Band.GUARANTEED : Band.UNGUARANTEED;
        sortKeys.add(sortKey(job, band, wallMicros));
      }
    }
    sortKeys.sort(BY_SORT_KEY);
    List<Job> order = new ArrayList<>(sortKeys.size());
    sortKeys.forEach(key -> order.add(key.job()));
    return order;
  }

  private boolean shouldOrderByAge(List<Job> waiting, long wallMicros) {
    for (Job job : waiting) {
      if (wallMicros - job.acceptedWallMicros() > LONG_WAIT_THRESHOLD_MICROS) {
        return ++orderingsWithLongWait % AGE_ORDER_INTERVAL == 0;
      }
    }
    return false;
  }

  /** True if the job has waited so long for its first task that it is to get one now. */
  public static boolean isStarved(Job job, long wallMicros) {
    return wallMicros - job.acceptedWallMicros() > STARVATION_THRESHOLD_MICROS
        && job.doneCount() == 0
        && !job.hasBoundTasks();
  }

  private SortKey sortKey(Job job, Band band, long wallMicros) {
    JobSpec spec = job.spec();
    long target = completionTargetMicros(spec);
    if (target < 0) {
      return new SortKey(job, band, Timeliness.ON_TIME, 0);
    }
    double work = (double) job.pendingCount() * spec.cpus() * spec.expectedMicros();
    return new SortKey(job, band, timeliness(job, target, wallMicros), work);
  }

  private static Timeliness timeliness(Job job, long targetMicros, long wallMicros) {
    long earliestEnd = wallMicros + job.spec().expectedMicros() + TASK_START_MICROS;
    long slack = job.acceptedWallMicros() + targetMicros - earliestEnd;
    if (slack >= 0) {
      return slack < URGENT_SLACK_MICROS ? Timeliness.URGENT : Timeliness.ON_TIME;
    }
    long graceEnd = job.acceptedWallMicros() + Math.round(targetMicros * GRACE_FACTOR);
    return earliestEnd <= graceEnd ? Timeliness.WITHIN_GRACE : Timeliness.LATE;
  }

  /**
   * Returns the time within which the job is to be completed, counted from its acceptance: its own
   * deadline, or else the objective of its class; -1 if it has neither.
   */
  public long completionTargetMicros(JobSpec spec) {
    return spec.deadlineMicros() >= 0
        ? spec.deadlineMicros()
        : finishWithinMicrosByClass.getOrDefault(spec.jobClass(), -1L);
  }

  /**
   * Returns the jobs that fit into their team's guarantee together with the team's earlier
   * unfinished jobs.
   */
  Set<Job> guaranteed(Collection<Job> jobs) {
    List<Job> byAge = new ArrayList<>(jobs);
    byAge.sort(BY_AGE);
    Map<String, TeamUsage> usages = new HashMap<>();
    Set<Job> guaranteed = new HashSet<>();
    for (Job job : byAge) {
      Settings.Team team = teams.get(job.spec().team());
      if (team == null) {
        continue;
      }
      TeamUsage usage = usages.computeIfAbsent(team.name(), name -> new TeamUsage());
      usage.add(job.spec(), job.spec().tasks());
      if (ResourceAmounts.covers(team.guaranteedCpus(), usage.cpus())
          && ResourceAmounts.covers(team.guaranteedGpus(), usage.gpus())) {
        guaranteed.add(job);
      }
    }
    return guaranteed;
  }
}
