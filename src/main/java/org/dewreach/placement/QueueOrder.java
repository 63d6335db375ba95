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
 * The order in which waiting jobs are placed: priority, then guarantee, then what can still be in
 * time, then age.
 *
 * <p>When there is more work than room, going by age alone makes every job late by a little. So a
 * job that can still be done in time goes before one that cannot, and of those the one with the
 * least work left goes first: the most jobs are then in time.
 */
public final class QueueOrder {
  private static final Comparator<Job> BY_AGE =
      Comparator.comparingLong(Job::acceptedWallMicros).thenComparing(Job::id);

  /** From placement to running: the command, and often an image. A default of this project. */
  private static final long START_MICROS = 4_000_000;

  /**
   * A job that misses its target by less than half of it is still better than a later one. A
   * default of this project.
   */
  private static final double GRACE_FACTOR = 1.5;

  /**
   * With less slack than this, a job goes before those that can still wait. A default of this
   * project.
   */
  private static final long PRESSING_SLACK_MICROS = 20_000_000;

  /** A job that has waited for this long is to be served for its age. A default of this project. */
  private static final long LONG_WAIT_MICROS = 150_000_000;

  /** Once a job has waited long, one order in this many goes by age. A default of this project. */
  private static final int ORDERS_PER_ORDER_BY_AGE = 2;

  /**
   * A job waits no longer than this for its first task, if its priority gets any. A default of this
   * project.
   */
  private static final long STARVED_AFTER_MICROS = 140_000_000;

  /** What goes first among jobs of one priority. */
  private enum Band {
    /** Has waited too long for its first task. */
    STARVED,
    /** All others, in an order that goes by age. */
    BY_AGE,
    /** Within its team's guarantee. */
    GUARANTEED,
    /** Beyond its team's guarantee. */
    UNGUARANTEED
  }

  /** Whether a job can still be done in time. */
  private enum Timeliness {
    /** Only if it is placed soon. */
    PRESSING,
    /** Yes, or it has no target. */
    ON_TIME,
    /** Not quite. */
    WITHIN_GRACE,
    /** By far not. */
    LATE
  }

  /** The sort key of a job. */
  private record Rank(Job job, Band band, Timeliness timeliness, double work) {
    /** A rank that is decided by the band and the job's age. */
    Rank(Job job, Band band) {
      this(job, band, Timeliness.PRESSING, 0);
    }
  }

  private static final Comparator<Rank> BY_RANK =
      Comparator.comparing((Rank rank) -> rank.job().spec().priority())
          .thenComparing(Rank::band)
          .thenComparing(Rank::timeliness)
          .thenComparingDouble(Rank::work)
          .thenComparing(Rank::job, BY_AGE);

  private final Map<String, Settings.Team> teams;
  private final Map<String, Long> finishWithin = new HashMap<>();
  private int ordersWithLongWait;

  /** Creates the order for these guarantees and objectives, of which those on finishing count. */
  public QueueOrder(Map<String, Settings.Team> teams, List<Settings.Objective> objectives) {
    this.teams = teams;
    for (Settings.Objective objective : objectives) {
      if (objective.kind() == Settings.ObjectiveKind.FINISH_WITHIN
          && objective.jobClass() != null) {
        finishWithin.merge(objective.jobClass(), objective.withinMicros(), Math::min);
      }
    }
  }

  /**
   * Those of the jobs that wait, in the order of placement.
   *
   * <p>Guards against jobs that always have others before them: large ones under a flood of small
   * ones, late ones, those of a team without a guarantee. A starved job comes first within its
   * priority, {@linkplain #isStarved for one task}. And once some job has waited long, every other
   * order goes by age alone; so each gets room in the end, and most of the room still goes to what
   * can be in time.
   *
   * @param jobs all jobs, by which the guarantees are given out
   */
  public List<Job> order(Collection<Job> jobs, Predicate<Job> waits, long wallMicros) {
    Set<Job> guaranteed = guaranteed(jobs);
    List<Job> waiting = jobs.stream().filter(waits).toList();
    boolean byAge = isTurnByAge(waiting, wallMicros);
    List<Rank> ranks = new ArrayList<>(waiting.size());
    for (Job job : waiting) {
      if (isStarved(job, wallMicros)) {
        ranks.add(new Rank(job, Band.STARVED));
      } else if (byAge) {
        ranks.add(new Rank(job, Band.BY_AGE));
      } else {
        Band band = guaranteed.contains(job) ? Band.GUARANTEED : Band.UNGUARANTEED;
        ranks.add(rank(job, band, wallMicros));
      }
    }
    ranks.sort(BY_RANK);
    List<Job> order = new ArrayList<>(ranks.size());
    ranks.forEach(rank -> order.add(rank.job()));
    return order;
  }

  private boolean isTurnByAge(List<Job> waiting, long wallMicros) {
    for (Job job : waiting) {
      if (wallMicros - job.acceptedWallMicros() > LONG_WAIT_MICROS) {
        return ++ordersWithLongWait % ORDERS_PER_ORDER_BY_AGE == 0;
      }
    }
    return false;
  }

  /** True for a job that has waited so long for its first task that it is to be given one now. */
  public static boolean isStarved(Job job, long wallMicros) {
    return wallMicros - job.acceptedWallMicros() > STARVED_AFTER_MICROS
        && job.doneCount() == 0
        && !job.hasBoundTasks();
  }

  private Rank rank(Job job, Band band, long wallMicros) {
    JobSpec spec = job.spec();
    long target = completionTargetMicros(spec);
    if (target < 0) {
      return new Rank(job, band, Timeliness.ON_TIME, 0);
    }
    double work = (double) job.pendingCount() * spec.cpus() * spec.expectedMicros();
    return new Rank(job, band, timeliness(job, target, wallMicros), work);
  }

  private static Timeliness timeliness(Job job, long targetMicros, long wallMicros) {
    long earliestEnd = wallMicros + job.spec().expectedMicros() + START_MICROS;
    long slack = job.acceptedWallMicros() + targetMicros - earliestEnd;
    if (slack >= 0) {
      return slack < PRESSING_SLACK_MICROS ? Timeliness.PRESSING : Timeliness.ON_TIME;
    }
    long graceEnd = job.acceptedWallMicros() + Math.round(targetMicros * GRACE_FACTOR);
    return earliestEnd <= graceEnd ? Timeliness.WITHIN_GRACE : Timeliness.LATE;
  }

  /** When the job is to be done, from its acceptance, by its owner or its class; or -1. */
  public long completionTargetMicros(JobSpec spec) {
    return spec.dueMicros() >= 0
        ? spec.dueMicros()
        : finishWithin.getOrDefault(spec.jobClass(), -1L);
  }

  /** Jobs that fit into their team's guarantee together with its earlier unfinished jobs. */
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
      if (Rounding.covers(team.cpus(), usage.cpus())
          && Rounding.covers(team.gpus(), usage.gpus())) {
        guaranteed.add(job);
      }
    }
    return guaranteed;
  }
}
