package org.dewreach.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dewreach.config.Settings;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;

/** Books of its own about what workers do and users are told; finds broken rules. */
final class Checker {
  private static final class JobView {
    JobSpec spec;
    boolean accepted;
    boolean cancelRequested;
    String reportedFinalState;
    long acceptedAt;
    long firstStartAt = -1;
    int starts;
    long lastAnsweredAt;
    boolean askedSince;
    long cancellationReportedAt = -1;

    /** When the last question about it was sent; before the start if there was none. */
    long lastAskedAt = Long.MIN_VALUE / 2;

    /** When the first of the questions that failed since its last answer did; -1 if none has. */
    long failingSince = -1;

    /** What a job that must not be accepted is to be answered; 0 for any other. */
    int refusal;

    /** A machine with room for one more of its tasks, and since when it has had that. */
    SimWorker capacityAt;

    long capacitySince;
    final Set<Integer> completed = new HashSet<>();
    final Map<Integer, SimWorker> running = new HashMap<>();
  }

  private final Clock clock;
  private final Settings settings;
  private final Map<String, JobView> jobs = new HashMap<>();

  /** When the last trouble was over; from then on each job has to be answered for. */
  long faultsEndAt = Long.MAX_VALUE;

  private static final long FORGOTTEN_AFTER = 75_000_000;

  /** For so long all questions about a job may fail while most other jobs are answered for. */
  private static final long FORGOTTEN_BESIDE_OTHERS_AFTER = 90_000_000;

  private static final long LEFT_WAITING_AFTER = 90_000_000;

  /** Told each job whose last task has completed, at that moment. */
  Consumer<String> onAllTasksCompleted = id -> {};

  /** Told each job that users have just heard to be accepted, done or cancelled. */
  Consumer<String> onJobStateReported = id -> {};

  /** The machines that are up; none unless the simulation tells. */
  Supplier<List<SimWorker>> machines = List::of;

  private final Map<String, Double> teamCpus = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  int started;
  int completions;
  int jobsReportedDone;
  int jobsReportedCancelled;

  Checker(Clock clock, Settings settings) {
    this.clock = clock;
    this.settings = settings;
  }

  private void violation(String rule, String what) {
    violations.add(rule + " at " + clock.now() / 1000 + " ms: " + what);
  }

  private JobView job(String id) {
    return jobs.computeIfAbsent(id, key -> new JobView());
  }

  // What workers do

  void onStart(SimWorker worker, String jobId, int index) {
    started++;
    JobView job = job(jobId);
    String name = jobId + "/" + index;
    if (job.spec == null) {
      violation("invented", name + " started but never submitted");
      return;
    }
    if (job.running.containsKey(index)) {
      violation("ran_twice", name + " on " + worker.name + " and " + job.running.get(index).name);
    }
    job.starts++;
    if (job.firstStartAt < 0) {
      job.firstStartAt = clock.now();
    }
    JobSpec spec = job.spec;
    boolean typeOk = spec.types() == null || spec.types().contains(worker.type);
    boolean zoneOk = spec.zone() == null || spec.zone().equals(worker.zone);
    boolean kindOk = spec.spot() || !worker.spot;
    if (!typeOk || !zoneOk || !kindOk) {
      violation("wrong_place", name + " on " + worker.name);
    }
    int inZone = 1;
    for (SimWorker other : job.running.values()) {
      if (other.zone.equals(worker.zone)) {
        inZone++;
      } else if (spec.sameZone()) {
        violation("wrong_place", name + " in another zone than its job");
      }
    }
    if (spec.spreadZones() && inZone > (spec.tasks() + 1) / 2) {
      violation("wrong_place", name + ": too many in " + worker.zone);
    }
    if (job.cancellationReportedAt >= 0) {
      violation(
          "ran_cancelled",
          name
              + " started on "
              + worker.name
              + " after "
              + job.cancellationReportedAt / 1000
              + " ms");
    }
    job.capacityAt = null;
    job.running.put(index, worker);
    double cpus = teamCpus.merge(spec.team(), spec.cpus(), Double::sum);
    if (cpus > settings.teams().get(spec.team()).cpusMax() + 1e-6) {
      violation("quota", spec.team() + " uses " + cpus);
    }
  }

  void onEnd(SimWorker worker, String jobId, int index, boolean completed) {
    JobView job = job(jobId);
    if (job.running.remove(index, worker)) {
      teamCpus.merge(job.spec.team(), -job.spec.cpus(), Double::sum);
    }
    if (completed) {
      completions++;
      job.completed.add(index);
      if (job.completed.size() == job.spec.tasks()) {
        onAllTasksCompleted.accept(jobId);
      }
    }
  }

  /** Called now and then: cancelled jobs must be gone in time. */
  void checkDeadlines() {
    jobs.forEach(
        (id, job) -> {
          if (job.cancellationReportedAt >= 0
              && !job.running.isEmpty()
              && clock.now() > job.cancellationReportedAt + settings.workers().cancelMicros()) {
            violation("ran_cancelled", id + " still runs");
            job.cancellationReportedAt = Long.MAX_VALUE / 2;
          }
          long unanswered = Math.max(faultsEndAt, Math.max(job.acceptedAt, job.lastAnsweredAt));
          if (job.accepted && job.askedSince && clock.now() - unanswered > FORGOTTEN_AFTER) {
            violation("forgotten", id + " not answered for since " + unanswered / 1000 + " ms");
            job.lastAnsweredAt = clock.now();
          }
        });
    if (clock.now() > faultsEndAt) {
      findCapacity();
    }
  }

  /**
   * Once the troubles are over, no job waits while a machine that fits has room all the time. Told
   * only of what can be placed alone: not of gangs, and not of jobs that bind their tasks' zones.
   */
  private void findCapacity() {
    List<SimWorker> up = machines.get().stream().filter(SimWorker::takesWork).toList();
    Map<String, Double> used = new HashMap<>();
    up.forEach(worker -> worker.addUse(used));
    jobs.forEach(
        (id, job) -> {
          boolean alone =
              job.spec != null
                  && job.spec.jobKind() != JobKind.GANG
                  && !job.spec.sameZone()
                  && !job.spec.spreadZones();
          boolean waits =
              alone
                  && job.accepted
                  && !job.cancelRequested
                  && job.reportedFinalState == null
                  && hasUnplacedTask(id, job);
          double left =
              waits
                  ? settings.teams().get(job.spec.team()).cpusMax()
                      - used.getOrDefault(job.spec.team(), 0.0)
                  : 0;
          if (!waits || left < job.spec.cpus()) {
            job.capacityAt = null;
          } else if (job.capacityAt == null
              || !up.contains(job.capacityAt)
              || !job.capacityAt.fits(job.spec)) {
            job.capacityAt = up.stream().filter(w -> w.fits(job.spec)).findFirst().orElse(null);
            job.capacitySince = clock.now();
          } else if (clock.now() - job.capacitySince > LEFT_WAITING_AFTER) {
            violation(
                "left_waiting",
                id
                    + " though "
                    + job.capacityAt.name
                    + " has room since "
                    + job.capacitySince / 1000
                    + " ms");
            job.capacityAt = null;
          }
        });
  }

  /** True if a task of the job is neither done nor on any machine, running or not. */
  private boolean hasUnplacedTask(String id, JobView job) {
    Set<Integer> placed = new HashSet<>(job.completed);
    machines.get().forEach(worker -> placed.addAll(worker.tasksOf(id)));
    return placed.size() < job.spec.tasks();
  }

  // What users do and are told

  void onSubmit(JobSpec spec) {
    job(spec.id()).spec = spec;
  }

  /** A job that must not be accepted, and the status that says so. */
  void onWrongSubmit(String id, int refusal) {
    job(id).refusal = refusal;
  }

  /** Answers to requests that can be judged at any time are right, or tell to come back. */
  private void checkStatus(String id, int status, int right) {
    if (status != right && status != 0 && status != 429 && status < 500) {
      violation("answered_wrong", id + " answered " + status + " instead of " + right);
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
    job(id).askedSince = true;
    job(id).lastAskedAt = clock.now();
    return new KnownState(job(id).accepted, job(id).reportedFinalState);
  }

  void onSubmitAnswer(String id, KnownState asked, int status, String jobState) {
    JobView job = job(id);
    if (job.refusal > 0) {
      if (status == 200 || status == 201) {
        violation("accepted_wrong", id + " answered " + status + " instead of " + job.refusal);
      } else {
        checkStatus(id, status, job.refusal);
      }
    } else if (status == 200 || status == 201) {
      onAccepted(id, job);
      onStateReported(id, job, asked, jobState);
    } else if (asked.accepted() && status >= 400 && status != 429 && status < 500) {
      violation("forgotten", id + " refused with " + status + " after it was accepted");
    }
  }

  void onQueryAnswer(String id, KnownState asked, int status, String jobState) {
    JobView job = job(id);
    if (status == 200 || status == 404) {
      job.lastAnsweredAt = clock.now();
      job.askedSince = false;
      job.failingSince = -1;
    } else {
      onQueryFailed(id);
    }
    if (status == 404 && asked.accepted()) {
      violation("forgotten", id + " answered 404");
    }
    if (status == 200) {
      if (job.spec == null) {
        violation("invented", id + " answered 200");
        return;
      }
      onAccepted(id, job);
      onStateReported(id, job, asked, jobState);
    }
  }

  /** A question got no answer that tells anything: none in time, or one to come back. */
  void onQueryFailed(String id) {
    JobView job = job(id);
    if (!job.accepted) {
      return;
    }
    if (job.failingSince < 0) {
      job.failingSince = clock.now();
    }
    boolean longFailing = clock.now() - job.failingSince > FORGOTTEN_BESIDE_OTHERS_AFTER;
    if (longFailing && mostOthersAreAnswered(id)) {
      violation(
          "forgotten",
          id + ": all questions fail since " + job.failingSince / 1000 + " ms, most others do not");
      job.failingSince = clock.now();
    }
  }

  /** True if more than half of the other jobs asked about lately had an answer lately. */
  private boolean mostOthersAreAnswered(String id) {
    long since = clock.now() - FORGOTTEN_BESIDE_OTHERS_AFTER;
    int asked = 0;
    int answered = 0;
    for (Map.Entry<String, JobView> entry : jobs.entrySet()) {
      JobView other = entry.getValue();
      if (other.accepted && other.lastAskedAt > since && !entry.getKey().equals(id)) {
        asked++;
        answered += other.lastAnsweredAt > since ? 1 : 0;
      }
    }
    return 2 * answered > asked;
  }

  private void onAccepted(String id, JobView job) {
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
    JobView job = job(id);
    return (job.firstStartAt < 0 ? clock.now() : job.firstStartAt) - job.acceptedAt;
  }

  void onCancelAnswer(String id, KnownState asked, int status, String jobState) {
    if (status == 200 && job(id).spec == null) {
      violation("invented", id + " cancelled");
    } else if (status == 200) {
      // Nobody is told the state of a job that was not accepted.
      onAccepted(id, job(id));
      onStateReported(id, job(id), asked, jobState);
    } else if (status == 404 && asked.accepted()) {
      violation("forgotten", id + " answered 404 to a cancellation");
    } else {
      // Of a job whose acceptance is not known of, 404 may be right.
      checkStatus(id, status, asked.accepted() ? 200 : 404);
    }
  }

  private void onStateReported(String id, JobView job, KnownState asked, String jobState) {
    boolean isFinal = jobState.equals("done") || jobState.equals("withdrawn");
    String before = isFinal ? job.reportedFinalState : asked.reportedFinalState();
    if (before != null && !before.equals(jobState)) {
      violation("went_back", id + " was " + before + ", now " + jobState);
    }
    if (!List.of("pending", "running", "done", "withdrawn").contains(jobState)) {
      violation("answered_wrong", id + " is " + jobState);
    }
    if (jobState.equals("withdrawn") && !job.cancelRequested) {
      violation("went_back", id + " withdrawn by nobody");
    }
    if (jobState.equals("done") && job.completed.size() < job.spec.tasks()) {
      violation("not_done", id + " has " + job.completed.size() + " of " + job.spec.tasks());
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
