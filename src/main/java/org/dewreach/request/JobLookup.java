package org.dewreach.request;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dewreach.config.Settings;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStateRecord;
import org.dewreach.history.FinalStates;
import org.dewreach.peer.JobKnowledge;
import org.dewreach.state.ClusterState;
import org.dewreach.state.LeaderlessJobImporter;
import org.dewreach.state.LeaderlessJobRecord;
import org.dewreach.store.KeyValue;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.ReadResult;
import org.dewreach.store.RequestFailure;
import org.dewreach.store.TokenBucket;
import org.dewreach.wire.JobState;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Looks up jobs in the key-value store that are neither in the leader's cluster state nor among the
 * known final states.
 */
final class JobLookup {
  private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);

  /** Share of the key-value store's rate limit that lookups may use. */
  private static final double STORE_RATE_SHARE = 0.3;

  /**
   * The result of a successful lookup.
   *
   * @param jobState the job's state
   * @param done the number of its completed tasks
   */
  record FoundJob(JobState jobState, int done) {}

  private final ClusterState clusterState;
  private final LeaderlessJobImporter jobImporter;
  private final KeyValueStore store;
  private final TokenBucket readBudget;
  private final FinalStates finalStates;
  private final PeerJobStates peers;
  private final BooleanSupplier storeSuspected;

  /**
   * Creates a lookup.
   *
   * @param storeSuspected returns true while the key-value store does not respond to this leader
   */
  JobLookup(
      ClusterState clusterState,
      LeaderlessJobImporter jobImporter,
      KeyValueStore store,
      FinalStates finalStates,
      PeerJobStates peers,
      BooleanSupplier storeSuspected,
      Settings settings) {
    this.clusterState = clusterState;
    this.jobImporter = jobImporter;
    this.store = store;
    this.finalStates = finalStates;
    this.peers = peers;
    this.storeSuspected = storeSuspected;
    double rps = settings.storeLimits().requestsPerSecond() * STORE_RATE_SHARE;
    this.readBudget = new TokenBucket(rps, rps);
  }

  /**
   * Looks up a job that the cluster state does not contain: one that was accepted without this
   * leader, or one that has ended. While the key-value store does not respond, the other
   * controllers are asked first.
   *
   * @param onResult receives the job, or an empty value if it does not exist
   * @param onFailure receives the reason if the lookup failed
   */
  void find(
      String jobId,
      Consumer<Optional<FoundJob>> onResult,
      Consumer<RetryReason> onFailure,
      long nowMicros) {
    FinalState finalState = finalStates.get(jobId);
    if (finalState != null) {
      onResult.accept(Optional.of(found(finalState)));
    } else if (storeSuspected.getAsBoolean()) {
      findAtPeers(jobId, onResult, () -> read(jobId, onResult, onFailure, nowMicros));
    } else {
      read(jobId, onResult, onFailure, nowMicros);
    }
  }

  /**
   * Asks the other controllers for a job that the cluster state does not contain.
   *
   * @param onNotFound called if none of them knows a state of the job that is certainly current
   */
  void findAtPeers(String jobId, Consumer<Optional<FoundJob>> onResult, Runnable onNotFound) {
    peers.ask(
        jobId,
        known -> {
          Optional<FoundJob> found = known.flatMap(knowledge -> current(jobId, knowledge));
          if (found.isPresent()) {
            onResult.accept(found);
          } else {
            onNotFound.run();
          }
        });
  }

  /** Returns the job's state if what another controller knows is certainly current. */
  private Optional<FoundJob> current(String jobId, JobKnowledge known) {
    Optional<FinalState> finalState = peers.finalState(jobId, known);
    if (finalState.isPresent()) {
      return finalState.map(JobLookup::found);
    }
    boolean notImported =
        known instanceof JobKnowledge.Accepted accepted
            && !clusterState.jobs().containsKey(jobId)
            && isNotImported(accepted);
    return notImported ? Optional.of(new FoundJob(JobState.PENDING, 0)) : Optional.empty();
  }

  /**
   * True if no leader can have imported a job that was accepted without one and is not in the
   * cluster state: its record was written after those that this leader has listed; or this leader
   * has not listed any, and the job did not end under an earlier one.
   */
  private boolean isNotImported(JobKnowledge.Accepted accepted) {
    return jobImporter.listed()
        ? accepted.revision() > jobImporter.completeUpTo()
        : finalStates.wouldContain(accepted.revision(), clusterState.term());
  }

  private static FoundJob found(FinalState finalState) {
    return new FoundJob(finalState.jobState(), finalState.done());
  }

  /**
   * Reads a job. It moves from the records of jobs accepted without a leader into the cluster
   * state, and from there to the final states, so reads in this order miss none.
   */
  private void read(
      String jobId,
      Consumer<Optional<FoundJob>> onResult,
      Consumer<RetryReason> onFailure,
      long nowMicros) {
    if (!readBudget.tryAcquire(nowMicros)) {
      onFailure.accept(RetryReason.STATE_RATE);
      return;
    }
    store.get(
        Keys.leaderlessJob(jobId),
        (now, result) -> {
          if (result instanceof KeyValue leaderlessJob) {
            onResult.accept(Optional.of(importLeaderlessJob(leaderlessJob, now)));
          } else if (result instanceof RequestFailure) {
            onFailure.accept(RetryReason.READ_FAILED);
          } else if (clusterState.jobs().containsKey(jobId)) {
            onFailure.accept(RetryReason.BEING_ACCEPTED);
          } else {
            findEnded(jobId, onResult, onFailure);
          }
        });
  }

  private FoundJob importLeaderlessJob(KeyValue leaderlessJob, long nowMicros) {
    boolean cancelled = LeaderlessJobRecord.isCancelled(leaderlessJob.value());
    jobImporter.importJob(leaderlessJob, nowMicros);
    return new FoundJob(cancelled ? JobState.CANCELLED : JobState.PENDING, 0);
  }

  private void findEnded(
      String jobId, Consumer<Optional<FoundJob>> onResult, Consumer<RetryReason> onFailure) {
    store.get(
        Keys.finalState(jobId),
        (now, result) -> {
          if (result instanceof ReadResult.Absent) {
            onResult.accept(Optional.empty());
          } else if (result instanceof KeyValue ended) {
            decodeEnded(jobId, ended, onResult, onFailure);
          } else {
            onFailure.accept(RetryReason.READ_FAILED);
          }
        });
  }

  private void decodeEnded(
      String jobId,
      KeyValue ended,
      Consumer<Optional<FoundJob>> onResult,
      Consumer<RetryReason> onFailure) {
    FinalState finalState;
    try {
      finalState = FinalStateRecord.decode(ended.value());
    } catch (MalformedException e) {
      LOG.error("record malformed, skipped: key={} cause=\"{}\"", ended.key(), e.getMessage());
      onFailure.accept(RetryReason.RECORD_MALFORMED);
      return;
    }
    finalStates.addLookedUp(jobId, finalState);
    onResult.accept(Optional.of(found(finalState)));
  }
}
