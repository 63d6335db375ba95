package org.dewreach.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;

/**
 * Finds jobs about which queries fail for too long, and jobs that wait although capacity is free.
 */
final class LivenessChecker {
  /** The longest time without a successful query about a job after the faults ended. */
  private static final long UNANSWERED_LIMIT_MICROS = 75 * Clock.SECOND;

  /**
   * The longest time for which all queries about a job may fail while those about most others
   * succeed.
   */
  private static final long UNANSWERED_ALONE_LIMIT_MICROS = 90 * Clock.SECOND;

  /** The longest time for which a task may wait while one machine has capacity for it. */
  private static final long UNPLACED_LIMIT_MICROS = 90 * Clock.SECOND;

  private final Checker checker;
  private final Clock clock;
  private final Settings settings;
  private final Map<String, JobObservation> jobs;

  LivenessChecker(
      Checker checker, Clock clock, Settings settings, Map<String, JobObservation> jobs) {
    this.checker = checker;
    this.clock = clock;
    this.settings = settings;
    this.jobs = jobs;
  }

  /** Checks that after the end of the faults queries about the job succeed. */
  void checkAnswered(String id, JobObservation job) {
    long unansweredSince =
        Math.max(checker.faultsEndAt, Math.max(job.acceptedAt, job.lastResponseAt));
    if (job.accepted
        && job.requestedSinceResponse
        && clock.now() - unansweredSince > UNANSWERED_LIMIT_MICROS) {
      checker.addViolation(
          "forgotten", id + ": no successful query since " + unansweredSince / 1000 + " ms");
      job.lastResponseAt = clock.now();
    }
  }

  /** Records that a query failed: it timed out, or its response asked the user to retry. */
  void onQueryFailed(String id, JobObservation job) {
    if (!job.accepted) {
      return;
    }
    if (job.failingSince < 0) {
      job.failingSince = clock.now();
    }
    boolean longFailing = clock.now() - job.failingSince > UNANSWERED_ALONE_LIMIT_MICROS;
    if (longFailing && mostOtherJobsAreAnswered(id)) {
      checker.addViolation(
          "forgotten",
          id
              + ": all queries have failed since "
              + job.failingSince / 1000
              + " ms while those about most other jobs succeeded");
      job.failingSince = clock.now();
    }
  }

  /** True if queries about more than half of the other jobs requested lately succeeded lately. */
  private boolean mostOtherJobsAreAnswered(String id) {
    long since = clock.now() - UNANSWERED_ALONE_LIMIT_MICROS;
    int asked = 0;
    int answered = 0;
    for (Map.Entry<String, JobObservation> entry : jobs.entrySet()) {
      JobObservation other = entry.getValue();
      if (other.accepted && other.lastRequestAt > since && !entry.getKey().equals(id)) {
        asked++;
        answered += other.lastResponseAt > since ? 1 : 0;
      }
    }
    return 2 * answered > asked;
  }

  /**
   * Checks that no job waits while one machine has capacity for a task of it the whole time. Called
   * after the end of the faults. Covers only tasks that can be placed on their own: not those of
   * gangs, and not those of jobs that constrain their tasks to the same or to different zones.
   */
  void checkWaitingJobs() {
    List<SimWorker> up = checker.workers.get().stream().filter(SimWorker::canRunTasks).toList();
    Map<String, Double> used = new HashMap<>();
    up.forEach(worker -> worker.addCpuUse(used));
    jobs.forEach((id, job) -> checkWaitingJob(id, job, up, used));
  }

  private void checkWaitingJob(
      String id, JobObservation job, List<SimWorker> up, Map<String, Double> used) {
    if (!mayStartATask(id, job, used)) {
      job.workerWithCapacity = null;
    } else if (job.workerWithCapacity == null
        || !up.contains(job.workerWithCapacity)
        || !job.workerWithCapacity.fits(job.spec)) {
      job.workerWithCapacity =
          up.stream().filter(worker -> worker.fits(job.spec)).findFirst().orElse(null);
      job.capacitySince = clock.now();
    } else if (clock.now() - job.capacitySince > UNPLACED_LIMIT_MICROS) {
      String machine = job.workerWithCapacity.name;
      checker.addViolation(
          "left_waiting",
          id
              + " waits although "
              + machine
              + " has had capacity since "
              + job.capacitySince / 1000
              + " ms");
      job.workerWithCapacity = null;
    }
  }

  private boolean mayStartATask(String id, JobObservation job, Map<String, Double> used) {
    if (!job.waitsForIndependentTasks() || !hasUnplacedTask(id, job)) {
      return false;
    }
    String team = job.spec.team();
    double left = settings.teams().get(team).cpuQuota() - used.getOrDefault(team, 0.0);
    return left >= job.spec.cpus();
  }

  /**
   * True if a task of the job has not completed and is on no machine, neither running nor pulling.
   */
  private boolean hasUnplacedTask(String id, JobObservation job) {
    Set<Integer> placed = new HashSet<>(job.completed);
    checker.workers.get().forEach(worker -> placed.addAll(worker.tasksOf(id)));
    return placed.size() < job.spec.tasks();
  }
}
