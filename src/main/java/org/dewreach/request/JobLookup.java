package org.dewreach.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.dewreach.config.Settings;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStateRecord;
import org.dewreach.history.FinalStates;
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

  JobLookup(
      ClusterState clusterState,
      LeaderlessJobImporter jobImporter,
      KeyValueStore store,
      FinalStates finalStates,
      Settings settings) {
    this.clusterState = clusterState;
    this.jobImporter = jobImporter;
    this.store = store;
    this.finalStates = finalStates;
    double rps = settings.storeLimits().requestsPerSecond() * STORE_RATE_SHARE;
    this.readBudget = new TokenBucket(rps, rps);
  }

  /**
   * Reads a job that the cluster state does not contain: one that was accepted without this leader,
   * or one that has ended. A job moves from the records of jobs accepted without a leader into the
   * cluster state, and from there to the final states, so reads in this order miss none.
   *
   * @param onResult receives the job, or an empty value if it does not exist
   * @param onFailure receives the reason if the lookup failed
   */
  void find(
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
    onResult.accept(Optional.of(new FoundJob(finalState.jobState(), finalState.done())));
  }
}
