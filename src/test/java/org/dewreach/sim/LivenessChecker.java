package org.dewreach.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;

/** Finds jobs whose users get no answers, and jobs that wait although there is room for them. */
final class LivenessChecker {
  private static final long UNANSWERED_LIMIT_MICROS = 75 * Clock.SECOND;

  /** For so long all questions about a job may fail while most other jobs are answered for. */
  private static final long UNANSWERED_ALONE_LIMIT_MICROS = 90 * Clock.SECOND;

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

  /** Once the faults are over, each job that somebody asks about has to be answered for. */
  void checkAnswered(String id, JobObservation job) {
    long unanswered = Math.max(checker.faultsEndAt, Math.max(job.acceptedAt, job.lastResponseAt));
    if (job.accepted
        && job.requestedSinceResponse
        && clock.now() - unanswered > UNANSWERED_LIMIT_MICROS) {
      checker.addViolation(
          "forgotten", id + " not answered for since " + unanswered / 1000 + " ms");
      job.lastResponseAt = clock.now();
    }
  }

  /** A question got no answer that tells anything: none in time, or one to come back. */
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
          id + ": all questions fail since " + job.failingSince / 1000 + " ms, most others do not");
      job.failingSince = clock.now();
    }
  }

  /** True if more than half of the other jobs asked about lately had an answer lately. */
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
   * Once the faults are over, no job waits while a machine that fits has room all the time. Told
   * only of what can be placed alone: not of gangs, and not of jobs that bind their tasks' zones.
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
          id + " though " + machine + " has room since " + job.capacitySince / 1000 + " ms");
      job.workerWithCapacity = null;
    }
  }

  private boolean mayStartATask(String id, JobObservation job, Map<String, Double> used) {
    if (!job.waitsForIndependentTasks() || !hasUnplacedTask(id, job)) {
      return false;
    }
    String team = job.spec.team();
    double left = settings.teams().get(team).cpusMax() - used.getOrDefault(team, 0.0);
    return left >= job.spec.cpus();
  }

  /** True if a task of the job is neither done nor on any machine, running or not. */
  private boolean hasUnplacedTask(String id, JobObservation job) {
    Set<Integer> placed = new HashSet<>(job.completed);
    checker.workers.get().forEach(worker -> placed.addAll(worker.tasksOf(id)));
    return placed.size() < job.spec.tasks();
  }
}
