package org.dewreach.request;

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

  /**
   * Share of the state service's rate for looking up what the cluster state does not have. A
   * default of this project.
   */
  private static final double RATE_SHARE = 0.3;

  /** The state of a job that was looked up, and how many of its tasks are done. */
  record Result(JobState jobState, int done) {}

  /** Takes the outcome of a lookup. */
  interface Callback {
    /** Called with null if there is no such job. */
    void onResult(Result found);
  }

  private final ClusterState clusterState;
  private final LeaderlessJobImporter jobImporter;
  private final KeyValueStore state;
  private final TokenBucket budget;
  private final FinalStates finalStates;

  JobLookup(
      ClusterState clusterState,
      LeaderlessJobImporter jobImporter,
      KeyValueStore state,
      FinalStates finalStates,
      Settings settings) {
    this.clusterState = clusterState;
    this.jobImporter = jobImporter;
    this.state = state;
    this.finalStates = finalStates;
    double rps = settings.stateLimits().rps() * RATE_SHARE;
    this.budget = new TokenBucket(rps, rps);
  }

  /**
   * Reads the state of a job that the cluster state does not have: accepted without us, or over;
   * null if there is none. A job moves from the new records into our cluster state, and from there
   * to the final ones, so looking in this order misses none.
   */
  void find(String id, Callback then, Consumer<RetryReason> unknown, long nowMicros) {
    if (!budget.tryAcquire(nowMicros)) {
      unknown.accept(RetryReason.STATE_RATE);
      return;
    }
    state.get(
        Keys.leaderlessJob(id),
        (now, result) -> {
          if (result instanceof KeyValue found) {
            boolean cancelled = LeaderlessJobRecord.isCancelled(found.value());
            jobImporter.importJob(found, now);
            then.onResult(new Result(cancelled ? JobState.CANCELLED : JobState.PENDING, 0));
          } else if (result instanceof RequestFailure) {
            unknown.accept(RetryReason.READ_FAILED);
          } else if (clusterState.jobs().containsKey(id)) {
            unknown.accept(RetryReason.BEING_ACCEPTED);
          } else {
            findOver(id, then, unknown);
          }
        });
  }

  private void findOver(String id, Callback then, Consumer<RetryReason> unknown) {
    state.get(
        Keys.finalState(id),
        (now, result) -> {
          if (result instanceof ReadResult.Absent) {
            then.onResult(null);
            return;
          }
          if (!(result instanceof KeyValue entry)) {
            unknown.accept(RetryReason.READ_FAILED);
            return;
          }
          try {
            FinalState found = FinalStateRecord.decode(entry.value());
            finalStates.read(id, found);
            then.onResult(new Result(found.jobState(), found.done()));
          } catch (MalformedException e) {
            LOG.error("final record of {} not understood", id);
            unknown.accept(RetryReason.RECORD_MALFORMED);
          }
        });
  }
}
