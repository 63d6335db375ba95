package org.dewreach.leadership;

import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.ReadResult;
import org.dewreach.store.RequestFailure;
import org.dewreach.store.ResultHandler;
import org.dewreach.store.WatchBatch;

/** Reads and watches the leader key, one request at a time, with a pause after each failure. */
final class LeaderKeyReader {
  /** Pause before the key is read again after an error. */
  static final long RETRY_PAUSE_MICROS = 300_000;

  private static final long WATCH_DURATION_MS = 8_000;

  private final KeyValueStore store;
  private final ResultHandler<ReadResult> onRead;
  private final BooleanSupplier keepWatching;
  private final LongConsumer onWatchEnded;
  private long seenRevision;
  private boolean readInFlight;
  private boolean watchInFlight;
  private long nextReadAt;
  private long lastStoreResponseAt = -1;
  private long lastStoreReplyAt = -1;

  /**
   * Creates a reader that has not read the key yet.
   *
   * @param onRead receives the result of each read
   * @param keepWatching true while the key is to be watched
   * @param onWatchEnded receives the time at which a watch ended, unless it ended without a change
   */
  LeaderKeyReader(
      KeyValueStore store,
      ResultHandler<ReadResult> onRead,
      BooleanSupplier keepWatching,
      LongConsumer onWatchEnded) {
    this.store = store;
    this.onRead = onRead;
    this.keepWatching = keepWatching;
    this.onWatchEnded = onWatchEnded;
  }

  /**
   * The time of the last response that this controller received from the key-value store, or -1.
   */
  long lastStoreResponseAt() {
    return lastStoreResponseAt;
  }

  /**
   * The time of the last reply of the key-value store, a refusal included, or -1: a store that
   * refuses requests can still be reached.
   */
  long lastStoreReplyAt() {
    return lastStoreReplyAt;
  }

  /** Records the result of a request of the election, of any kind, to the key-value store. */
  void recordResult(long nowMicros, Object result) {
    if (!(result instanceof RequestFailure failure)) {
      recordStoreResponse(nowMicros);
    } else if (failure.status() > 0) {
      lastStoreReplyAt = nowMicros;
    }
  }

  /** Records a response of the key-value store to another request of the election. */
  void recordStoreResponse(long nowMicros) {
    lastStoreResponseAt = nowMicros;
    lastStoreReplyAt = nowMicros;
  }

  /** True if no request is in flight and no pause is in effect. */
  boolean readDue(long nowMicros) {
    return !readInFlight && !watchInFlight && nowMicros >= nextReadAt;
  }

  /** Defers the next read of the key to this time. */
  void readAgainAt(long micros) {
    nextReadAt = micros;
  }

  /** Reads the leader key. */
  void read() {
    readInFlight = true;
    store.get(
        Keys.LEADER,
        (now, result) -> {
          readInFlight = false;
          recordResult(now, result);
          onRead.onResult(now, result);
        });
  }

  /** Watches the leader key for changes after the given revision. */
  void watchFrom(long revision) {
    seenRevision = revision;
    watch();
  }

  private void watch() {
    watchInFlight = true;
    store.watch(
        Keys.LEADER,
        seenRevision,
        WATCH_DURATION_MS,
        (now, result) -> {
          watchInFlight = false;
          recordResult(now, result);
          nextReadAt = now + pauseAfter(result);
          if (!keepWatching.getAsBoolean()) {
            return;
          }
          if (result instanceof WatchBatch batch && batch.events().isEmpty()) {
            // Nothing changed: continue to watch from here without reading the key again.
            seenRevision = Math.max(seenRevision, batch.storeRevision());
            watch();
          } else {
            onWatchEnded.accept(now);
          }
        });
  }

  /** Revokes the lease of an outdated leader key; the key is read again after that. */
  void revokeLease(long leaseId) {
    readInFlight = true;
    store.revokeLease(
        leaseId,
        (now, result) -> {
          readInFlight = false;
          nextReadAt = now + pauseAfter(result);
        });
  }

  private static long pauseAfter(Object result) {
    return result instanceof RequestFailure ? RETRY_PAUSE_MICROS : 0;
  }
}
