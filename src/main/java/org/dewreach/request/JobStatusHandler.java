package org.dewreach.request;

import java.util.Optional;
import org.dewreach.history.FinalState;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.peer.JobKnowledge;
import org.dewreach.state.ClusterState;
import org.dewreach.state.JobRecordWriter;
import org.dewreach.wire.JobState;

/**
 * Answers with the state of a job that the cluster state contains.
 *
 * <p>While a write of the job may have been applied without a response, another controller may have
 * read and reported the new state. The other controllers are then asked before the last durable
 * state is reported. Guards against jobs that cannot be queried for as long as an outage of the
 * key-value store lasts.
 */
final class JobStatusHandler {
  private final ClusterState clusterState;
  private final JobRecordWriter recordWriter;
  private final PeerJobStates peers;
  private final PendingQueries pendingQueries;

  JobStatusHandler(ClusterState clusterState, JobRecordWriter recordWriter, PeerJobStates peers) {
    this.clusterState = clusterState;
    this.recordWriter = recordWriter;
    this.peers = peers;
    this.pendingQueries = new PendingQueries(recordWriter, this::respondWithoutOutcome);
  }

  /** Answers a request about the job; the response may be sent later. */
  void handle(Job job, StatusRequest request, long nowMicros) {
    if (job.phase() == JobPhase.PERSISTING) {
      respondBeforeFirstRecord(job, request);
    } else if (isFinalStateBeingWritten(job)) {
      pendingQueries.add(job, request, nowMicros);
    } else {
      request.respondWith(job);
    }
  }

  /** True while a write of the job's final state has no outcome. */
  private static boolean isFinalStateBeingWritten(Job job) {
    return job.phase() == JobPhase.CANCEL_COMMITTING
        || job.phase() == JobPhase.FINALIZING && job.finalState() == JobState.DONE;
  }

  // The first record of the job is being written

  private void respondBeforeFirstRecord(Job job, StatusRequest request) {
    if (job.storedState().leaderlessState() == JobState.CANCELLED) {
      request.respondNotBegun(JobState.CANCELLED);
      return;
    }
    peers.ask(job.id(), known -> respondBeforeFirstRecord(job, request, known));
  }

  private void respondBeforeFirstRecord(
      Job job, StatusRequest request, Optional<JobKnowledge> known) {
    if (respondedEnded(request, known)) {
      return;
    }
    if (!isCurrent(job) || job.phase() != JobPhase.PERSISTING) {
      request.handleAgain().run();
    } else if (known.isPresent() && isAccepted(job, known.get())) {
      request.respondNotBegun(JobState.PENDING);
    } else {
      request.respondRetry(RetryReason.BEING_ACCEPTED);
    }
  }

  /** True if a record of the job is durable that no earlier leader can have written. */
  private boolean isAccepted(Job job, JobKnowledge known) {
    boolean readElsewhere =
        known instanceof JobKnowledge.Accepted accepted
            && accepted.revision() > clusterState.term();
    return job.storedState().leaderlessState() != null || readElsewhere;
  }

  // The final state of the job is being written

  private void respondWithoutOutcome(Job job, StatusRequest request) {
    if (recordWriter.endInDoubt(job)) {
      peers.ask(job.id(), known -> respondInDoubt(job, request, known));
    } else {
      request.respondWith(job);
    }
  }

  private void respondInDoubt(Job job, StatusRequest request, Optional<JobKnowledge> known) {
    if (respondedEnded(request, known)) {
      return;
    }
    if (!isCurrent(job) || !isFinalStateBeingWritten(job)) {
      request.handleAgain().run();
    } else if (known.isEmpty()) {
      request.respondRetry(RetryReason.END_IN_DOUBT);
    } else {
      request.respondWith(job);
    }
  }

  // Both

  private boolean isCurrent(Job job) {
    return clusterState.jobs().get(job.id()) == job;
  }

  /** Responds with the final state if another controller knows it; returns whether it did. */
  private boolean respondedEnded(StatusRequest request, Optional<JobKnowledge> known) {
    Optional<FinalState> finalState =
        known.flatMap(knowledge -> peers.finalState(request.jobId(), knowledge));
    finalState.ifPresent(request::respondWith);
    return finalState.isPresent();
  }

  /** Responds to requests that have been pending for too long. */
  void tick(long nowMicros) {
    pendingQueries.tick(nowMicros);
  }

  /** Called once the job's final state is durable. */
  void onFinalStateDurable(String jobId) {
    pendingQueries.onFinalStateDurable(jobId);
  }

  /** Ends the term: sends a retry response to all waiting users. */
  void close() {
    pendingQueries.close();
  }
}
