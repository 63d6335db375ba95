package org.dewreach.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dewreach.config.Settings;
import org.dewreach.wire.JobSpec;

/**
 * Records what workers run and which responses users receive, independently of the controllers, and
 * reports violations of the scheduler's rules.
 */
final class Checker {
  private final Clock clock;
  private final Settings settings;
  private final Map<String, JobObservation> jobs = new HashMap<>();
  private final LivenessChecker liveness;

  /** The time at which the last fault ends; from then on queries about each job must succeed. */
  long faultsEndAt = Long.MAX_VALUE;

  /** Receives the id of each job at the moment when its last task completes. */
  Consumer<String> onAllTasksCompleted = id -> {};

  /** Receives the id of each job when a response first reports it accepted, done or cancelled. */
  Consumer<String> onJobStateReported = id -> {};

  /** The workers of the machines that are up; none until the simulation sets it. */
  Supplier<List<SimWorker>> workers = List::of;

  private final Map<String, Double> teamCpus = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  int taskStarts;
  int taskCompletions;
  int jobsReportedDone;
  int jobsReportedCancelled;

  Checker(Clock clock, Settings settings) {
    this.clock = clock;
    this.settings = settings;
    this.liveness = new LivenessChecker(this, clock, settings, jobs);
  }

  /**
   * Records a violation; its text begins with the name of the rule:
   *
   * <ul>
   *   <li>{@code invented}: a task or response belongs to a job that nobody submitted
   *   <li>{@code ran_twice}: two attempts of one task run at the same time
   *   <li>{@code ran_cancelled}: a task starts after its job's cancellation was reported, or still
   *       runs when the time limit for cancellations has passed
   *   <li>{@code quota}: a team's running tasks exceed its quota
   *   <li>{@code wrong_place}: a task runs where its job does not allow it
   *   <li>{@code accepted_wrong}: an invalid job was accepted
   *   <li>{@code answered_wrong}: a response has the wrong status or an unknown job state
   *   <li>{@code forgotten}: an accepted job is reported as unknown or rejected, or queries about
   *       it fail for too long
   *   <li>{@code went_back}: a job's reported state regressed, or changed without a cause
   *   <li>{@code not_done}: a job is reported done before all its tasks completed
   *   <li>{@code left_waiting}: a task stays unplaced although a machine has capacity for it
   * </ul>
   */
  void addViolation(String rule, String details) {
    violations.add(rule + " at " + clock.now() / 1000 + " ms: " + details);
  }

  private JobObservation job(String id) {
    return jobs.computeIfAbsent(id, key -> new JobObservation());
  }

  // Tasks on workers

  /** Records that a task begins to run and checks that it may. */
  void onStart(SimWorker worker, String jobId, int index) {
    taskStarts++;
    JobObservation job = job(jobId);
    String name = jobId + "/" + index;
    if (job.spec == null) {
      addViolation("invented", name + " started but never submitted");
      return;
    }
    if (job.running.containsKey(index)) {
      addViolation(
          "ran_twice", name + " on " + worker.name + " and " + job.running.get(index).name);
    }
    job.starts++;
    if (job.firstStartAt < 0) {
      job.firstStartAt = clock.now();
    }
    checkPlacement(worker, job, name);
    if (job.cancellationReportedAt >= 0) {
      addViolation(
          "ran_cancelled",
          name
              + " started on "
              + worker.name
              + " although its cancellation was reported at "
              + job.cancellationReportedAt / 1000
              + " ms");
    }
    job.workerWithCapacity = null;
    job.running.put(index, worker);
    double cpus = teamCpus.merge(job.spec.team(), job.spec.cpus(), Double::sum);
    if (cpus > settings.teams().get(job.spec.team()).cpuQuota() + 1e-6) {
      addViolation("quota", job.spec.team() + " uses " + cpus + " CPUs");
    }
  }

  private void checkPlacement(SimWorker worker, JobObservation job, String name) {
    JobSpec spec = job.spec;
    boolean typeOk = spec.types() == null || spec.types().contains(worker.type);
    boolean zoneOk = spec.zone() == null || spec.zone().equals(worker.zone);
    boolean kindOk = spec.spot() || !worker.spot;
    if (!typeOk || !zoneOk || !kindOk) {
      addViolation("wrong_place", name + " runs on " + worker.name);
    }
    int inZone = 1;
    for (SimWorker other : job.running.values()) {
      if (other.zone.equals(worker.zone)) {
        inZone++;
      } else if (spec.sameZone()) {
        addViolation("wrong_place", name + " runs in another zone than the other tasks of its job");
      }
    }
    if (spec.spreadZones() && inZone > (spec.tasks() + 1) / 2) {
      addViolation("wrong_place", name + ": too many tasks of its job in zone " + worker.zone);
    }
  }

  /** Records that a task no longer runs. */
  void onEnd(SimWorker worker, String jobId, int index, boolean completed) {
    JobObservation job = job(jobId);
    if (job.running.remove(index, worker)) {
      teamCpus.merge(job.spec.team(), -job.spec.cpus(), Double::sum);
    }
    if (completed) {
      taskCompletions++;
      job.completed.add(index);
      if (job.completed.size() == job.spec.tasks()) {
        onAllTasksCompleted.accept(jobId);
      }
    }
  }

  /**
   * Checks that tasks of cancelled jobs stopped in time, that queries are answered and that tasks
   * are placed. Called periodically.
   */
  void checkDeadlines() {
    jobs.forEach(
        (id, job) -> {
          checkCancelled(id, job);
          liveness.checkAnswered(id, job);
        });
    if (clock.now() > faultsEndAt) {
      liveness.checkWaitingJobs();
    }
  }

  private void checkCancelled(String id, JobObservation job) {
    if (job.cancellationReportedAt >= 0
        && !job.running.isEmpty()
        && clock.now() > job.cancellationReportedAt + settings.workers().maxCancellationMicros()) {
      addViolation("ran_cancelled", id + " still runs after the time limit for cancellations");
      job.cancellationReportedAt = Long.MAX_VALUE / 2;
    }
  }

  // Requests of users and their responses

  void onSubmit(JobSpec spec) {
    job(spec.id()).spec = spec;
  }

  /** Records the submission of a job that must be rejected, and the status that it must get. */
  void onInvalidSubmit(String id, int expectedStatus) {
    job(id).expectedRejectionStatus = expectedStatus;
  }

  /**
   * Checks that a response has the expected status, or is a timeout or a request to retry. For
   * requests whose expected status does not depend on the time.
   */
  private void checkStatus(String id, int status, int expected) {
    if (status != expected && status != 0 && status != 429 && status < 500) {
      addViolation("answered_wrong", id + " answered " + status + " instead of " + expected);
    }
  }

  void onCancelRequested(String id) {
    job(id).cancelRequested = true;
  }

  /**
   * The state of a job that responses had reported when a request was sent. The response to this
   * request must not report an older state. States reported while the request is in flight are not
   * included, since the network may reorder responses.
   */
  record KnownState(boolean accepted, String reportedFinalState) {}

  KnownState onRequestSent(String id) {
    job(id).requestedSinceResponse = true;
    job(id).lastRequestAt = clock.now();
    return new KnownState(job(id).accepted, job(id).reportedFinalState);
  }

  void onSubmitResponse(String id, KnownState known, int status, String jobState) {
    JobObservation job = job(id);
    if (job.expectedRejectionStatus > 0) {
      if (status == 200 || status == 201) {
        addViolation(
            "accepted_wrong",
            id + " answered " + status + " instead of " + job.expectedRejectionStatus);
      } else {
        checkStatus(id, status, job.expectedRejectionStatus);
      }
    } else if (status == 200 || status == 201) {
      onAccepted(id, job);
      onStateReported(id, job, known, jobState);
    } else if (known.accepted() && status >= 400 && status != 429 && status < 500) {
      addViolation("forgotten", id + " rejected with " + status + " after it was accepted");
    }
  }

  void onQueryResponse(String id, KnownState known, int status, String jobState) {
    JobObservation job = job(id);
    if (status == 200 || status == 404) {
      job.lastResponseAt = clock.now();
      job.requestedSinceResponse = false;
      job.failingSince = -1;
    } else {
      onQueryFailed(id);
    }
    if (status == 404 && known.accepted()) {
      addViolation("forgotten", id + " answered 404");
    }
    if (status == 200) {
      if (job.spec == null) {
        addViolation("invented", id + " answered 200");
        return;
      }
      onAccepted(id, job);
      onStateReported(id, job, known, jobState);
    }
  }

  /** Records that a query failed: it timed out, or its response asked the user to retry. */
  void onQueryFailed(String id) {
    liveness.onQueryFailed(id, job(id));
  }

  private void onAccepted(String id, JobObservation job) {
    if (!job.accepted) {
      job.accepted = true;
      job.acceptedAt = clock.now();
      onJobStateReported.accept(id);
    }
  }

  /** Returns how many times tasks of the job have been started. */
  int startsOf(String id) {
    return job(id).starts;
  }

  /** Returns how long the job waited for the start of its first task, or has waited until now. */
  long waitingMicros(String id) {
    JobObservation job = job(id);
    return (job.firstStartAt < 0 ? clock.now() : job.firstStartAt) - job.acceptedAt;
  }

  void onCancelResponse(String id, KnownState known, int status, String jobState) {
    if (status == 200 && job(id).spec == null) {
      addViolation("invented", id + " cancelled");
    } else if (status == 200) {
      // Only a job that was accepted has a state to report.
      onAccepted(id, job(id));
      onStateReported(id, job(id), known, jobState);
    } else if (status == 404 && known.accepted()) {
      addViolation("forgotten", id + " answered 404 to a cancellation");
    } else {
      // Without a response that confirmed the acceptance, the job may not exist: 404 is correct.
      checkStatus(id, status, known.accepted() ? 200 : 404);
    }
  }

  private void onStateReported(String id, JobObservation job, KnownState known, String jobState) {
    boolean isFinal = jobState.equals("done") || jobState.equals("withdrawn");
    String before = isFinal ? job.reportedFinalState : known.reportedFinalState();
    if (before != null && !before.equals(jobState)) {
      addViolation("went_back", id + " was " + before + ", now " + jobState);
    }
    if (!List.of("pending", "running", "done", "withdrawn").contains(jobState)) {
      addViolation("answered_wrong", id + " is " + jobState);
    }
    if (jobState.equals("withdrawn") && !job.cancelRequested) {
      addViolation("went_back", id + " withdrawn although nobody cancelled it");
    }
    if (jobState.equals("done") && job.completed.size() < job.spec.tasks()) {
      addViolation(
          "not_done",
          id
              + " reported done with "
              + job.completed.size()
              + " of "
              + job.spec.tasks()
              + " tasks completed");
    }
    if (isFinal && job.reportedFinalState == null) {
      job.reportedFinalState = jobState;
      if (jobState.equals("withdrawn")) {
        jobsReportedCancelled++;
        job.cancellationReportedAt = clock.now();
      } else {
        jobsReportedDone++;
      }
      onJobStateReported.accept(id);
    }
  }

  /** Returns the workers on which tasks of the job run. */
  List<SimWorker> workersRunning(String id) {
    return List.copyOf(job(id).running.values());
  }

  boolean cancelRequested(String id) {
    return job(id).cancelRequested;
  }

  /** Returns the number of jobs that were reported cancelled and still have running tasks. */
  long cancelledButRunning() {
    return jobs.values().stream()
        .filter(job -> job.cancellationReportedAt >= 0 && !job.running.isEmpty())
        .count();
  }

  long acceptedAt(String id) {
    return job(id).acceptedAt;
  }

  boolean accepted(String id) {
    return job(id).accepted;
  }

  String reportedFinalState(String id) {
    return job(id).reportedFinalState;
  }
}
