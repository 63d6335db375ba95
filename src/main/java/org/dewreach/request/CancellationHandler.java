package org.dewreach.request;

import java.util.List;
import java.util.Optional;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.state.JobRecordWriter;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.JobState;
import org.dewreach.wire.JobStatus;
import org.dewreach.wire.UserResponse;

/** The leader's handling of cancellations. */
final class CancellationHandler {
  /**
   * After how long users no longer wait for tasks to stop. They wait 5 s; stops that are received
   * at all take less than this. A default of this project.
   */
  private static final long MAX_STOPPING_MICROS = 1_500_000;

  private final ClusterState clusterState;
  private final JobRecordWriter recordWriter;
  private final JobLookup lookup;
  private final WaitingResponders awaitingCancellation = new WaitingResponders();

  CancellationHandler(ClusterState clusterState, JobRecordWriter recordWriter, JobLookup lookup) {
    this.clusterState = clusterState;
    this.recordWriter = recordWriter;
    this.lookup = lookup;
  }

  void handle(String jobId, Responder responder, long nowMicros) {
    Job job = clusterState.jobs().get(jobId);
    if (job == null) {
      lookup.find(
          jobId,
          found -> respondFound(jobId, found, responder),
          responder::respondRetry,
          nowMicros);
      return;
    }
    switch (job.phase()) {
      case PERSISTING -> responder.respondRetry(RetryReason.BEING_ACCEPTED);
      case CANCELLED -> responder.respond(ended(jobId, JobState.CANCELLED));
      case FINALIZING, ENDED -> {
        if (job.finalState() == JobState.CANCELLED) {
          responder.respond(ended(jobId, JobState.CANCELLED));
        } else {
          awaitingCancellation.add(jobId, responder);
        }
      }
      case CANCEL_REQUESTED -> {
        if (isStoppingTooLong(job, nowMicros)) {
          responder.respondRetry(RetryReason.TASKS_NOT_GONE);
        } else {
          awaitingCancellation.add(jobId, responder);
        }
      }
      case CANCEL_COMMITTING -> awaitingCancellation.add(jobId, responder);
      case ACTIVE -> {
        awaitingCancellation.add(jobId, responder);
        startCancellation(job, nowMicros);
      }
    }
  }

  /** Responds for a job that the cluster state did not have. */
  private void respondFound(String jobId, Optional<JobLookup.Found> found, Responder responder) {
    if (found.isPresent() && found.get().jobState() != JobState.PENDING) {
      responder.respond(ended(jobId, found.get().jobState()));
    } else if (found.isPresent() || clusterState.jobs().containsKey(jobId)) {
      // Accepted during the lookup, or without this leader and just imported.
      responder.respondRetry(RetryReason.BEING_ACCEPTED);
    } else {
      responder.respond(UserResponse.empty(HttpStatus.NOT_FOUND));
    }
  }

  private static UserResponse ended(String jobId, JobState jobState) {
    return UserResponse.ok(JobStatus.withoutCounts(jobId, jobState));
  }

  private void startCancellation(Job job, long nowMicros) {
    job.become(JobPhase.CANCEL_REQUESTED);
    job.cancelRequestedAt(nowMicros);
    // At once, not with the next heartbeats, and also while nothing can be written: the user is
    // told when the tasks are gone.
    List.copyOf(job.boundTasks().values())
        .forEach(task -> clusterState.stop(task, "job cancelled", nowMicros));
    clusterState.requestPlacement();
    recordWriter.writeIfDue(job, nowMicros);
  }

  private static boolean isStoppingTooLong(Job job, long nowMicros) {
    return nowMicros - job.cancelRequestedAt() > MAX_STOPPING_MICROS;
  }

  /** The job's tasks are not gone yet: its user is told to retry if that takes long. */
  void onStillStopping(Job job, long nowMicros) {
    if (isStoppingTooLong(job, nowMicros)) {
      awaitingCancellation.respondRetry(job.id(), RetryReason.TASKS_NOT_GONE);
    }
  }

  /** The job's cancellation, or another end of it, is durable. */
  void onEndDurable(Job job, JobState jobState) {
    awaitingCancellation.respond(job.id(), ended(job.id(), jobState));
  }

  /**
   * Guards against responses held back while writes do not get through: users are told at once to
   * retry.
   */
  void onWritesStalled() {
    awaitingCancellation.respondRetryToAll(RetryReason.WRITES_STALLED);
  }

  /** The term is over: users are told to retry. */
  void close() {
    awaitingCancellation.respondRetryToAll(RetryReason.NO_AUTHORITY);
  }
}
