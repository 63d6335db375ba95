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

/** Looks up jobs that neither the leader's cluster state nor the known final states have. */
final class JobLookup {
  private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);

  /** Share of the key-value store's rate that lookups may take. A default of this project. */
  private static final double STORE_RATE_SHARE = 0.3;

  /**
   * A job that was found.
   *
   * @param jobState its state
   * @param done how many of its tasks are done
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
    double rps = settings.storeLimits().rps() * STORE_RATE_SHARE;
    this.readBudget = new TokenBucket(rps, rps);
  }

  /**
   * Reads a job that the cluster state does not have: accepted without this leader, or ended. A job
   * moves from the new records into the cluster state, and from there to the final records, so
   * looking in this order misses none.
   *
   * @param onResult receives the job, or nothing if it does not exist
   * @param onUnknown receives why it could not be found out
   */
  void find(
      String jobId,
      Consumer<Optional<FoundJob>> onResult,
      Consumer<RetryReason> onUnknown,
      long nowMicros) {
    if (!readBudget.tryAcquire(nowMicros)) {
      onUnknown.accept(RetryReason.STATE_RATE);
      return;
    }
    store.get(
        Keys.leaderlessJob(jobId),
        (now, result) -> {
          if (result instanceof KeyValue newJob) {
            onResult.accept(Optional.of(importNewJob(newJob, now)));
          } else if (result instanceof RequestFailure) {
            onUnknown.accept(RetryReason.READ_FAILED);
          } else if (clusterState.jobs().containsKey(jobId)) {
            onUnknown.accept(RetryReason.BEING_ACCEPTED);
          } else {
            findEnded(jobId, onResult, onUnknown);
          }
        });
  }

  private FoundJob importNewJob(KeyValue newJob, long nowMicros) {
    boolean cancelled = LeaderlessJobRecord.isCancelled(newJob.value());
    jobImporter.importJob(newJob, nowMicros);
    return new FoundJob(cancelled ? JobState.CANCELLED : JobState.PENDING, 0);
  }

  private void findEnded(
      String jobId, Consumer<Optional<FoundJob>> onResult, Consumer<RetryReason> onUnknown) {
    store.get(
        Keys.finalState(jobId),
        (now, result) -> {
          if (result instanceof ReadResult.Absent) {
            onResult.accept(Optional.empty());
          } else if (result instanceof KeyValue ended) {
            decodeEnded(jobId, ended, onResult, onUnknown);
          } else {
            onUnknown.accept(RetryReason.READ_FAILED);
          }
        });
  }

  private void decodeEnded(
      String jobId,
      KeyValue ended,
      Consumer<Optional<FoundJob>> onResult,
      Consumer<RetryReason> onUnknown) {
    FinalState finalState;
    try {
      finalState = FinalStateRecord.decode(ended.value());
    } catch (MalformedException e) {
      LOG.error("final state malformed: job={} cause=\"{}\"", jobId, e.getMessage());
      onUnknown.accept(RetryReason.RECORD_MALFORMED);
      return;
    }
    finalStates.addLookedUp(jobId, finalState);
    onResult.accept(Optional.of(new FoundJob(finalState.jobState(), finalState.done())));
  }
}
