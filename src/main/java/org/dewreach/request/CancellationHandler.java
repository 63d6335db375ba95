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

/** Handles cancellations on the leader. */
final class CancellationHandler {
  /**
   * The longest time for which a response waits for the job's tasks to stop. Users wait 5 s; a stop
   * command that reaches its worker takes less than this.
   */
  private static final long MAX_STOP_WAIT_MICROS = 1_500_000;

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
      case CANCELLED -> responder.respond(finalResponse(jobId, JobState.CANCELLED));
      case FINALIZING, ENDED -> {
        if (job.finalState() == JobState.CANCELLED) {
          responder.respond(finalResponse(jobId, JobState.CANCELLED));
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

  /** Responds with the result of a lookup of a job that the cluster state did not contain. */
  private void respondFound(String jobId, Optional<JobLookup.FoundJob> found, Responder responder) {
    if (found.isPresent() && found.get().jobState() != JobState.PENDING) {
      responder.respond(finalResponse(jobId, found.get().jobState()));
    } else if (found.isPresent() || clusterState.jobs().containsKey(jobId)) {
      // The job was accepted during the lookup, or it was accepted without this leader and has just
      // been imported.
      responder.respondRetry(RetryReason.BEING_ACCEPTED);
    } else {
      responder.respond(UserResponse.empty(HttpStatus.NOT_FOUND));
    }
  }

  private static UserResponse finalResponse(String jobId, JobState jobState) {
    return UserResponse.ok(JobStatus.withoutCounts(jobId, jobState));
  }

  private void startCancellation(Job job, long nowMicros) {
    job.changePhase(JobPhase.CANCEL_REQUESTED);
    job.cancelRequestedAt(nowMicros);
    // Stops the tasks now rather than with the next heartbeats, and also while writes are stalled:
    // the user gets a response only when the tasks are gone.
    List.copyOf(job.boundTasks().values())
        .forEach(task -> clusterState.stop(task, "job cancelled", nowMicros));
    clusterState.withdrawFailures(job, "the job is cancelled", nowMicros);
    clusterState.requestPlacement();
    recordWriter.writeIfDue(job, nowMicros);
  }

  private static boolean isStoppingTooLong(Job job, long nowMicros) {
    return nowMicros - job.cancelRequestedAt() > MAX_STOP_WAIT_MICROS;
  }

  /**
   * Called while the job's tasks are not gone yet. Sends a retry response to the waiting users if
   * that takes too long.
   */
  void onStillStopping(Job job, long nowMicros) {
    if (isStoppingTooLong(job, nowMicros)) {
      awaitingCancellation.respondRetry(job.id(), RetryReason.TASKS_NOT_GONE);
    }
  }

  /** Called once the job's cancellation, or another final state of it, is durable. */
  void onFinalStateDurable(Job job, JobState jobState) {
    awaitingCancellation.respond(job.id(), finalResponse(job.id(), jobState));
  }

  /**
   * Sends a retry response to all waiting users without further delay. Guards against responses
   * that are held back while writes to the key-value store are stalled.
   */
  void onWritesStalled() {
    awaitingCancellation.respondRetryToAll(RetryReason.WRITES_STALLED);
  }

  /** Ends the term: sends a retry response to all waiting users. */
  void close() {
    awaitingCancellation.respondRetryToAll(RetryReason.NO_AUTHORITY);
  }
}
