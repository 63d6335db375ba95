package org.dewreach.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dewreach.config.Settings;
import org.dewreach.wire.JobSpec;

/** Books of its own about what workers do and users are told; finds broken rules. */
final class Checker {
  private final Clock clock;
  private final Settings settings;
  private final Map<String, JobObservation> jobs = new HashMap<>();
  private final LivenessChecker liveness;

  /** When the last fault was over; from then on each job has to be answered for. */
  long faultsEndAt = Long.MAX_VALUE;

  /** Told each job whose last task has completed, at that moment. */
  Consumer<String> onAllTasksCompleted = id -> {};

  /** Told each job that users have just heard to be accepted, done or cancelled. */
  Consumer<String> onJobStateReported = id -> {};

  /** The machines that are up; none unless the simulation tells. */
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

  /** Notes that a rule is violated; the text begins with the name of the rule. */
  void addViolation(String rule, String what) {
    violations.add(rule + " at " + clock.now() / 1000 + " ms: " + what);
  }

  private JobObservation job(String id) {
    return jobs.computeIfAbsent(id, key -> new JobObservation());
  }

  // What workers do

  /** A task begins to run. */
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
              + " after "
              + job.cancellationReportedAt / 1000
              + " ms");
    }
    job.workerWithCapacity = null;
    job.running.put(index, worker);
    double cpus = teamCpus.merge(job.spec.team(), job.spec.cpus(), Double::sum);
    if (cpus > settings.teams().get(job.spec.team()).cpusMax() + 1e-6) {
      addViolation("quota", job.spec.team() + " uses " + cpus);
    }
  }

  private void checkPlacement(SimWorker worker, JobObservation job, String name) {
    JobSpec spec = job.spec;
    boolean typeOk = spec.types() == null || spec.types().contains(worker.type);
    boolean zoneOk = spec.zone() == null || spec.zone().equals(worker.zone);
    boolean kindOk = spec.spot() || !worker.spot;
    if (!typeOk || !zoneOk || !kindOk) {
      addViolation("wrong_place", name + " on " + worker.name);
    }
    int inZone = 1;
    for (SimWorker other : job.running.values()) {
      if (other.zone.equals(worker.zone)) {
        inZone++;
      } else if (spec.sameZone()) {
        addViolation("wrong_place", name + " in another zone than its job");
      }
    }
    if (spec.spreadZones() && inZone > (spec.tasks() + 1) / 2) {
      addViolation("wrong_place", name + ": too many in " + worker.zone);
    }
  }

  /** A task no longer runs. */
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

  /** Called now and then: cancelled jobs must be gone in time, others answered for and placed. */
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
        && clock.now() > job.cancellationReportedAt + settings.workers().cancelMicros()) {
      addViolation("ran_cancelled", id + " still runs");
      job.cancellationReportedAt = Long.MAX_VALUE / 2;
    }
  }

  // What users do and are told

  void onSubmit(JobSpec spec) {
    job(spec.id()).spec = spec;
  }

  /** A job that must not be accepted, and the status that says so. */
  void onInvalidSubmit(String id, int refusal) {
    job(id).expectedRejectionStatus = refusal;
  }

  /** Answers to requests that can be judged at any time are right, or tell to come back. */
  private void checkStatus(String id, int status, int right) {
    if (status != right && status != 0 && status != 429 && status < 500) {
      addViolation("answered_wrong", id + " answered " + status + " instead of " + right);
    }
  }

  void onCancelRequested(String id) {
    job(id).cancelRequested = true;
  }

  /**
   * What was told of a job when a question was sent. An answer may not be older than that; what is
   * told while the question is on its way may pass the answer on the network.
   */
  record KnownState(boolean accepted, String reportedFinalState) {}

  KnownState onRequestSent(String id) {
    job(id).requestedSinceResponse = true;
    job(id).lastRequestAt = clock.now();
    return new KnownState(job(id).accepted, job(id).reportedFinalState);
  }

  void onSubmitResponse(String id, KnownState asked, int status, String jobState) {
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
      onStateReported(id, job, asked, jobState);
    } else if (asked.accepted() && status >= 400 && status != 429 && status < 500) {
      addViolation("forgotten", id + " refused with " + status + " after it was accepted");
    }
  }

  void onQueryResponse(String id, KnownState asked, int status, String jobState) {
    JobObservation job = job(id);
    if (status == 200 || status == 404) {
      job.lastResponseAt = clock.now();
      job.requestedSinceResponse = false;
      job.failingSince = -1;
    } else {
      onQueryFailed(id);
    }
    if (status == 404 && asked.accepted()) {
      addViolation("forgotten", id + " answered 404");
    }
    if (status == 200) {
      if (job.spec == null) {
        addViolation("invented", id + " answered 200");
        return;
      }
      onAccepted(id, job);
      onStateReported(id, job, asked, jobState);
    }
  }

  /** A question got no answer that tells anything: none in time, or one to come back. */
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

  /** How often a task of the job was started. */
  int startsOf(String id) {
    return job(id).starts;
  }

  /** How long a job waited for its first task, or has waited until now. */
  long waitingMicros(String id) {
    JobObservation job = job(id);
    return (job.firstStartAt < 0 ? clock.now() : job.firstStartAt) - job.acceptedAt;
  }

  void onCancelResponse(String id, KnownState asked, int status, String jobState) {
    if (status == 200 && job(id).spec == null) {
      addViolation("invented", id + " cancelled");
    } else if (status == 200) {
      // Nobody is told the state of a job that was not accepted.
      onAccepted(id, job(id));
      onStateReported(id, job(id), asked, jobState);
    } else if (status == 404 && asked.accepted()) {
      addViolation("forgotten", id + " answered 404 to a cancellation");
    } else {
      // Of a job whose acceptance is not known of, 404 may be right.
      checkStatus(id, status, asked.accepted() ? 200 : 404);
    }
  }

  private void onStateReported(String id, JobObservation job, KnownState asked, String jobState) {
    boolean isFinal = jobState.equals("done") || jobState.equals("withdrawn");
    String before = isFinal ? job.reportedFinalState : asked.reportedFinalState();
    if (before != null && !before.equals(jobState)) {
      addViolation("went_back", id + " was " + before + ", now " + jobState);
    }
    if (!List.of("pending", "running", "done", "withdrawn").contains(jobState)) {
      addViolation("answered_wrong", id + " is " + jobState);
    }
    if (jobState.equals("withdrawn") && !job.cancelRequested) {
      addViolation("went_back", id + " withdrawn by nobody");
    }
    if (jobState.equals("done") && job.completed.size() < job.spec.tasks()) {
      addViolation("not_done", id + " has " + job.completed.size() + " of " + job.spec.tasks());
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

  /** The machines on which tasks of the job run. */
  List<SimWorker> workersRunning(String id) {
    return List.copyOf(job(id).running.values());
  }

  boolean cancelRequested(String id) {
    return job(id).cancelRequested;
  }

  /** Jobs told to be cancelled of which a task still runs. */
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
