package org.dewreach.request;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStateRecord;
import org.dewreach.history.FinalStates;
import org.dewreach.state.JobRecord;
import org.dewreach.store.KeyValue;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.ReadResult;
import org.dewreach.store.TokenBucket;
import org.dewreach.wire.JobState;
import org.dewreach.wire.JobStatus;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads jobs from the key-value store, whichever kind of record they have. Everything that is read
 * is remembered, since users are told it.
 */
final class StoredJobReader {
  private static final Logger LOG = LoggerFactory.getLogger(StoredJobReader.class);

  private final KeyValueStore store;
  private final FinalStates finalStates;
  private final TokenBucket readBudget;
  private final LongSupplier clock;

  /**
   * Creates a reader.
   *
   * @param rps the maximum number of reads per second
   * @param clock returns event time
   */
  StoredJobReader(KeyValueStore store, FinalStates finalStates, double rps, LongSupplier clock) {
    this.store = store;
    this.finalStates = finalStates;
    this.readBudget = new TokenBucket(rps, rps);
    this.clock = clock;
  }

  /**
   * A job as stored.
   *
   * @param jobId the job's id
   * @param key the key of its record
   * @param revision the record's revision
   * @param liveRecord its record, or null if the job has ended
   * @param jobState its state
   * @param done the number of its completed tasks
   */
  record StoredJob(
      String jobId, String key, long revision, JobRecord liveRecord, JobState jobState, int done) {
    /** Returns the status in responses to submissions and cancellations. */
    JobStatus status() {
      return JobStatus.withoutCounts(jobId, jobState);
    }

    /** Returns the status in the response to a query. */
    JobStatus statusWithCounts() {
      return JobStatus.withCounts(jobId, jobState, done, 0);
    }
  }

  /** True if the rate limit allows another read. */
  boolean hasReadBudget() {
    return readBudget.available(clock.getAsLong()) >= 1;
  }

  /**
   * Returns the keys under which a job may be stored, in the order in which to read them. A job
   * moves from the record of a job accepted without a leader to a live record, and from there to a
   * final state, each in one transaction. Most jobs are live, so the live record is read first, and
   * once more after the record of a job accepted without a leader: this finds every job that
   * existed at the start, even if it moves between the reads.
   */
  private static List<String> keysToRead(String jobId) {
    return List.of(
        Keys.job(jobId), Keys.leaderlessJob(jobId), Keys.job(jobId), Keys.finalState(jobId));
  }

  /**
   * Reads a job. All reads are charged to the rate limit at the start, and those not needed are
   * refunded.
   *
   * <p>Guards against exceeding the key-value store's rate limit when a controller resumes after a
   * pause: each request that had arrived in the meantime was counted as one read and took up to
   * four, and all were handled at once.
   *
   * @param onFailure receives the reason if the job could not be read
   */
  void read(
      String jobId,
      Consumer<StoredJob> onFound,
      Runnable onAbsent,
      Consumer<RetryReason> onFailure) {
    List<String> keys = keysToRead(jobId);
    readBudget.consume(clock.getAsLong(), keys.size());
    readFirst(keys, jobId, onFound, onAbsent, onFailure);
  }

  /** Reads the first of the keys, and continues with the rest if it does not exist. */
  private void readFirst(
      List<String> keys,
      String jobId,
      Consumer<StoredJob> onFound,
      Runnable onAbsent,
      Consumer<RetryReason> onFailure) {
    if (keys.isEmpty()) {
      onAbsent.run();
      return;
    }
    List<String> remainingKeys = keys.subList(1, keys.size());
    store.get(
        keys.get(0),
        (now, result) -> {
          if (result instanceof ReadResult.Absent) {
            readFirst(remainingKeys, jobId, onFound, onAbsent, onFailure);
            return;
          }
          readBudget.refund(remainingKeys.size());
          if (result instanceof KeyValue entry) {
            decode(jobId, entry, onFound, onFailure);
          } else {
            onFailure.accept(RetryReason.READ_FAILED);
          }
        });
  }

  private void decode(
      String jobId, KeyValue entry, Consumer<StoredJob> onFound, Consumer<RetryReason> onFailure) {
    StoredJob job;
    try {
      boolean ended = entry.key().equals(Keys.finalState(jobId));
      job = ended ? decodeEnded(jobId, entry) : decodeLive(jobId, entry);
    } catch (MalformedException e) {
      LOG.error("record malformed, skipped: key={} cause=\"{}\"", entry.key(), e.getMessage());
      onFailure.accept(RetryReason.RECORD_MALFORMED);
      return;
    }
    onFound.accept(job);
  }

  private StoredJob decodeEnded(String jobId, KeyValue entry) throws MalformedException {
    FinalState ended = FinalStateRecord.decode(entry.value());
    finalStates.addLookedUp(jobId, ended);
    return new StoredJob(
        jobId, entry.key(), entry.revision(), null, ended.jobState(), ended.done());
  }

  private StoredJob decodeLive(String jobId, KeyValue entry) throws MalformedException {
    JobRecord live = JobRecord.decode(entry.value());
    int done = live.done().cardinality();
    if (live.cancelled()) {
      finalStates.addCancelled(jobId, done);
    } else {
      finalStates.accepted().add(jobId, entry.revision());
    }
    JobState jobState = done > 0 ? JobState.RUNNING : JobState.PENDING;
    return new StoredJob(
        jobId,
        entry.key(),
        entry.revision(),
        live,
        live.cancelled() ? JobState.CANCELLED : jobState,
        done);
  }
}
