package org.dewreach.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.wire.JobRequest;

/** Books of its own about what workers do and users are told; finds broken rules. */
final class Checker {
  private static final class JobView {
    JobRequest spec;
    boolean accepted;
    boolean abortAsked;
    String finalTold;
    long acceptedAt;
    long firstStartAt = -1;
    long lastAnsweredAt;
    boolean askedSince;
    long withdrawnToldAt = -1;
    final Set<Integer> completed = new HashSet<>();
    final Map<Integer, SimWorker> running = new HashMap<>();
  }

  private final Clock clock;
  private final Settings settings;
  private final Map<String, JobView> jobs = new HashMap<>();

  /** When the last trouble was over; from then on each job has to be answered for. */
  long quietSince = Long.MAX_VALUE;

  private static final long FORGOTTEN_AFTER = 75_000_000;
  private final Map<String, Double> teamCpus = new HashMap<>();
  final List<String> broken = new ArrayList<>();
  int started;
  int completions;
  int toldDone;
  int toldWithdrawn;

  Checker(Clock clock, Settings settings) {
    this.clock = clock;
    this.settings = settings;
  }

  private void breaks(String rule, String what) {
    broken.add(rule + " at " + clock.now() / 1000 + " ms: " + what);
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
      breaks("invented", name + " started but never submitted");
      return;
    }
    if (job.running.containsKey(index)) {
      breaks("ran_twice", name + " on " + worker.name + " and " + job.running.get(index).name);
    }
    if (job.firstStartAt < 0) {
      job.firstStartAt = clock.now();
    }
    JobRequest spec = job.spec;
    boolean typeOk = spec.types() == null || spec.types().contains(worker.type);
    boolean zoneOk = spec.zone() == null || spec.zone().equals(worker.zone);
    boolean kindOk = spec.spot() || !worker.spot;
    if (!typeOk || !zoneOk || !kindOk) {
      breaks("wrong_place", name + " on " + worker.name);
    }
    int inZone = 1;
    for (SimWorker other : job.running.values()) {
      if (other.zone.equals(worker.zone)) {
        inZone++;
      } else if (spec.together()) {
        breaks("wrong_place", name + " in another zone than its job");
      }
    }
    if (spec.scatter() && inZone > (spec.tasks() + 1) / 2) {
      breaks("wrong_place", name + ": too many in " + worker.zone);
    }
    if (job.withdrawnToldAt >= 0) {
      breaks("ran_cancelled", name + " started after its job was called withdrawn");
    }
    job.running.put(index, worker);
    double cpus = teamCpus.merge(spec.team(), spec.cpus(), Double::sum);
    if (cpus > settings.teams().get(spec.team()).cpusMax() + 1e-6) {
      breaks("quota", spec.team() + " uses " + cpus);
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
    }
  }

  /** Called now and then: withdrawn jobs must be gone in time. */
  void sweep() {
    jobs.forEach(
        (id, job) -> {
          if (job.withdrawnToldAt >= 0
              && !job.running.isEmpty()
              && clock.now() > job.withdrawnToldAt + settings.workers().cancelMicros()) {
            breaks("ran_cancelled", id + " still runs");
            job.withdrawnToldAt = Long.MAX_VALUE / 2;
          }
          long unanswered = Math.max(quietSince, Math.max(job.acceptedAt, job.lastAnsweredAt));
          if (job.accepted
              && !job.abortAsked
              && job.askedSince
              && clock.now() - unanswered > FORGOTTEN_AFTER) {
            breaks("forgotten", id + " not answered for since " + unanswered / 1000 + " ms");
            job.lastAnsweredAt = clock.now();
          }
        });
  }

  // What users do and are told

  void onSubmit(JobRequest spec) {
    job(spec.id()).spec = spec;
  }

  void onAbortAsked(String id) {
    job(id).abortAsked = true;
  }

  /**
   * What was told of a job when a question was sent. An answer may not be older than that; what is
   * told while the question is on its way may pass the answer on the network.
   */
  record Asked(boolean accepted, String finalTold) {}

  Asked ask(String id) {
    job(id).askedSince = true;
    return new Asked(job(id).accepted, job(id).finalTold);
  }

  void onSubmitAnswer(String id, Asked asked, int status, String standing) {
    JobView job = job(id);
    if (status == 200 || status == 201) {
      accepted(job);
      told(id, job, asked, standing);
    } else if (asked.accepted() && (status == 400 || status == 422)) {
      breaks("forgotten", id + " refused with " + status + " after it was accepted");
    }
  }

  void onQueryAnswer(String id, Asked asked, int status, String standing) {
    JobView job = job(id);
    if (status == 200 || status == 404) {
      job.lastAnsweredAt = clock.now();
      job.askedSince = false;
    }
    if (status == 404 && asked.accepted()) {
      breaks("forgotten", id + " answered 404");
    }
    if (status == 200) {
      if (job.spec == null) {
        breaks("invented", id + " answered 200");
        return;
      }
      accepted(job);
      told(id, job, asked, standing);
    }
  }

  private void accepted(JobView job) {
    if (!job.accepted) {
      job.accepted = true;
      job.acceptedAt = clock.now();
    }
  }

  /** How long a job waited for its first task, or has waited until now. */
  long waited(String id) {
    JobView job = job(id);
    return (job.firstStartAt < 0 ? clock.now() : job.firstStartAt) - job.acceptedAt;
  }

  void onAbortAnswer(String id, Asked asked, int status, String standing) {
    if (status == 200) {
      told(id, job(id), asked, standing);
    }
  }

  private void told(String id, JobView job, Asked asked, String standing) {
    boolean isFinal = standing.equals("done") || standing.equals("withdrawn");
    String before = isFinal ? job.finalTold : asked.finalTold();
    if (before != null && !before.equals(standing)) {
      breaks("went_back", id + " was " + before + ", now " + standing);
    }
    if (standing.equals("withdrawn") && !job.abortAsked) {
      breaks("went_back", id + " withdrawn by nobody");
    }
    if (standing.equals("done") && job.completed.size() < job.spec.tasks()) {
      breaks("not_done", id + " has " + job.completed.size() + " of " + job.spec.tasks());
    }
    if (isFinal && job.finalTold == null) {
      job.finalTold = standing;
      if (standing.equals("withdrawn")) {
        toldWithdrawn++;
        job.withdrawnToldAt = clock.now();
      } else {
        toldDone++;
      }
    }
  }

  long acceptedAt(String id) {
    return job(id).acceptedAt;
  }

  boolean accepted(String id) {
    return job(id).accepted;
  }

  String finalTold(String id) {
    return job(id).finalTold;
  }
}
