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
 * The order in which waiting jobs are placed: urgency, then guarantee, then what can still be in
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
   * A job that misses its time by less than half of it is still better than a later one. A default
   * of this project.
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
  private static final int TURN_BY_AGE = 2;

  /**
   * A job waits no longer than this for its first task, if its urgency gets any. A default of this
   * project.
   */
  private static final long MAX_UNSTARTED_MICROS = 140_000_000;

  /** The tier of a job that is too late even with grace. */
  private static final int LATE_TIER = 3;

  /** Rounding errors of sums of CPUs and GPUs are smaller. */
  private static final double EPS = 1e-9;

  /** Before what is within a guarantee (0) and what is not (1). */
  private static final int FIRST = -1;

  private final Map<String, Settings.Team> teams;
  private final Map<String, Long> finishWithin = new HashMap<>();
  private int ordersWithLongWait;

  /** Creates the order for these guarantees and times to finish within. */
  public QueueOrder(Map<String, Settings.Team> teams, List<Settings.Objective> objectives) {
    this.teams = teams;
    for (Settings.Objective objective : objectives) {
      if (objective.kind() == Settings.ObjectiveKind.FINISH_WITHIN
          && objective.jobClass() != null) {
        finishWithin.merge(objective.jobClass(), objective.withinMicros(), Math::min);
      }
    }
  }

  private record Place(Job job, int guarantee, int tier, double work) {}

  private static final Comparator<Place> BY_PLACE =
      Comparator.comparing((Place place) -> place.job().spec().priority())
          .thenComparingInt(Place::guarantee)
          .thenComparingInt(Place::tier)
          .thenComparingDouble(Place::work)
          .thenComparing(Place::job, BY_AGE);

  /** The jobs in the order of placement. */
  public List<Job> order(Collection<Job> jobs, long wallMicros) {
    return order(jobs, job -> true, wallMicros);
  }

  /**
   * Those of the jobs that wait, in the order of placement.
   *
   * <p>Guards against jobs that always have others before them: large ones under a flood of small
   * ones, late ones, those of a team without a guarantee. A job that has waited too long for its
   * first task comes first within its urgency, {@linkplain #isStarved for one task}. And once some
   * job has waited long, every other order goes by age alone; so each gets room in the end, and
   * most of the room still goes to what can be in time.
   */
  public List<Job> order(Collection<Job> jobs, Predicate<Job> waits, long wallMicros) {
    Set<Job> guaranteed = guaranteed(jobs);
    List<Place> places = new ArrayList<>();
    boolean longWait = false;
    for (Job job : jobs) {
      if (waits.test(job)) {
        places.add(place(job, guaranteed.contains(job) ? 0 : 1, wallMicros));
        longWait |= waitsLong(job, wallMicros);
      }
    }
    if (longWait && ++ordersWithLongWait % TURN_BY_AGE == 0) {
      places.replaceAll(place -> new Place(place.job(), FIRST, 0, 0));
    }
    places.replaceAll(
        place -> isStarved(place.job(), wallMicros) ? new Place(place.job(), FIRST, -1, 0) : place);
    places.sort(BY_PLACE);
    List<Job> order = new ArrayList<>(places.size());
    places.forEach(place -> order.add(place.job()));
    return order;
  }

  private static boolean waitsLong(Job job, long wallMicros) {
    return wallMicros - job.acceptedWallMicros() > LONG_WAIT_MICROS;
  }

  /** True for a job that has waited so long for its first task that it is to be given one now. */
  public static boolean isStarved(Job job, long wallMicros) {
    return wallMicros - job.acceptedWallMicros() > MAX_UNSTARTED_MICROS
        && job.doneCount() == 0
        && !job.hasBound();
  }

  private Place place(Job job, int guarantee, long wallMicros) {
    long allowed = completionTargetMicros(job.spec());
    if (allowed < 0) {
      return new Place(job, guarantee, 1, 0);
    }
    JobSpec spec = job.spec();
    long left = spec.expectedMicros() + START_MICROS;
    long due = job.acceptedWallMicros() + allowed;
    long graceDue = job.acceptedWallMicros() + Math.round(allowed * GRACE_FACTOR);
    long slack = due - wallMicros - left;
    int tier =
        slack >= 0
            ? (slack < PRESSING_SLACK_MICROS ? 0 : 1)
            : wallMicros + left <= graceDue ? 2 : LATE_TIER;
    double work = (double) job.pending() * spec.cpus() * spec.expectedMicros();
    return new Place(job, guarantee, tier, work);
  }

  /** When the job is to be done, from its acceptance, by its owner or its class; or -1. */
  public long completionTargetMicros(JobSpec spec) {
    return spec.dueMicros() >= 0
        ? spec.dueMicros()
        : finishWithin.getOrDefault(spec.jobClass(), -1L);
  }

  /** Jobs that fit into their team's guarantee together with its earlier unfinished jobs. */
  public Set<Job> guaranteed(Collection<Job> jobs) {
    List<Job> byAge = new ArrayList<>(jobs);
    byAge.sort(BY_AGE);
    Map<String, double[]> taken = new HashMap<>();
    Set<Job> guaranteed = new HashSet<>();
    for (Job job : byAge) {
      Settings.Team team = teams.get(job.spec().team());
      if (team == null) {
        continue;
      }
      double[] sum = taken.computeIfAbsent(team.name(), name -> new double[2]);
      sum[0] += job.spec().tasks() * job.spec().cpus();
      sum[1] += job.spec().tasks() * job.spec().gpus();
      if (sum[0] <= team.cpus() + EPS && sum[1] <= team.gpus() + EPS) {
        guaranteed.add(job);
      }
    }
    return guaranteed;
  }
}
