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

/** Reads jobs from the key-value store, wherever their records are. */
final class StoredJobReader {
  private static final Logger LOG = LoggerFactory.getLogger(StoredJobReader.class);

  private final KeyValueStore store;
  private final FinalStates finalStates;
  private final TokenBucket readBudget;
  private final LongSupplier clock;

  /**
   * A reader.
   *
   * @param rps reads per second that it may make
   * @param clock tells event time
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
   * @param done how many of its tasks are done
   */
  record StoredJob(
      String jobId, String key, long revision, JobRecord liveRecord, JobState jobState, int done) {
    /** The status in responses to submissions and cancellations. */
    JobStatus status() {
      return JobStatus.withoutCounts(jobId, jobState);
    }

    /** The status in the response to a query. */
    JobStatus statusWithCounts() {
      return JobStatus.withCounts(jobId, jobState, done, 0);
    }
  }

  /** True if the rate for reading is not used up. */
  boolean hasReadBudget() {
    return readBudget.available(clock.getAsLong()) >= 1;
  }

  /**
   * Where a job may be. It moves from the new records to the live ones and from there to the final
   * ones, each in one transaction. Most are live, so those are read first, and again after the new
   * ones: a job that existed at the start is found then, however it moves meanwhile.
   */
  private static List<String> keysToRead(String jobId) {
    return List.of(
        Keys.job(jobId), Keys.leaderlessJob(jobId), Keys.job(jobId), Keys.finalState(jobId));
  }

  /**
   * Reads a job. All reads are paid for at the start, and those not needed are refunded.
   *
   * <p>Guards against the requests that reach a controller while it stands still: each was counted
   * as one read and took up to four, so all at once were more than the key-value store allows.
   *
   * @param onUnknown receives why the job could not be read
   */
  void read(
      String jobId,
      Consumer<StoredJob> onFound,
      Runnable onAbsent,
      Consumer<RetryReason> onUnknown) {
    List<String> keys = keysToRead(jobId);
    readBudget.consume(clock.getAsLong(), keys.size());
    readFirst(keys, jobId, onFound, onAbsent, onUnknown);
  }

  /** Reads the first of the keys, and the rest of them if it does not exist. */
  private void readFirst(
      List<String> keys,
      String jobId,
      Consumer<StoredJob> onFound,
      Runnable onAbsent,
      Consumer<RetryReason> onUnknown) {
    if (keys.isEmpty()) {
      onAbsent.run();
      return;
    }
    List<String> rest = keys.subList(1, keys.size());
    store.get(
        keys.get(0),
        (now, result) -> {
          if (result instanceof ReadResult.Absent) {
            readFirst(rest, jobId, onFound, onAbsent, onUnknown);
            return;
          }
          readBudget.refund(rest.size());
          if (result instanceof KeyValue entry) {
            decode(jobId, entry, onFound, onUnknown);
          } else {
            onUnknown.accept(RetryReason.READ_FAILED);
          }
        });
  }

  private void decode(
      String jobId, KeyValue entry, Consumer<StoredJob> onFound, Consumer<RetryReason> onUnknown) {
    StoredJob job;
    try {
      boolean ended = entry.key().equals(Keys.finalState(jobId));
      job = ended ? decodeEnded(jobId, entry) : decodeLive(jobId, entry);
    } catch (MalformedException e) {
      LOG.error("job record malformed: key={} cause=\"{}\"", entry.key(), e.getMessage());
      onUnknown.accept(RetryReason.RECORD_MALFORMED);
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

  private static StoredJob decodeLive(String jobId, KeyValue entry) throws MalformedException {
    JobRecord live = JobRecord.decode(entry.value());
    int done = live.done().cardinality();
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
