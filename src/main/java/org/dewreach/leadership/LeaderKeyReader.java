package org.dewreach.leadership;

import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.ReadResult;
import org.dewreach.store.RequestFailure;
import org.dewreach.store.ResultHandler;
import org.dewreach.store.WatchBatch;

/** Reads and watches the leader key, one request at a time, with pauses after failures. */
final class LeaderKeyReader {
  /** Pause before the key is read again after an error. */
  static final long RETRY_PAUSE_MICROS = 300_000;

  private static final long WATCH_MS = 8_000;

  private final KeyValueStore store;
  private final ResultHandler<ReadResult> onRead;
  private final BooleanSupplier following;
  private final LongConsumer onWatchEnded;
  private long seenRevision;
  private boolean readInFlight;
  private boolean watchInFlight;
  private long nextReadAt;
  private long lastStoreResponseAt = -1;

  /**
   * Nothing read yet.
   *
   * @param onRead takes the result of each read
   * @param following tells whether the key is still to be watched
   * @param onWatchEnded takes the time at which a watch ended, unless nothing has changed
   */
  LeaderKeyReader(
      KeyValueStore store,
      ResultHandler<ReadResult> onRead,
      BooleanSupplier following,
      LongConsumer onWatchEnded) {
    this.store = store;
    this.onRead = onRead;
    this.following = following;
    this.onWatchEnded = onWatchEnded;
  }

  /** When the key-value store last answered this node, or -1. */
  long lastStoreResponseAt() {
    return lastStoreResponseAt;
  }

  /** The key-value store answered another request of the election. */
  void recordStoreResponse(long nowMicros) {
    lastStoreResponseAt = nowMicros;
  }

  /** True if nothing is in flight and no pause runs. */
  boolean readDue(long nowMicros) {
    return !readInFlight && !watchInFlight && nowMicros >= nextReadAt;
  }

  /** The key is not to be read before this time. */
  void readAgainAt(long micros) {
    nextReadAt = micros;
  }

  /** Reads the key. */
  void read() {
    readInFlight = true;
    store.get(
        Keys.LEADER,
        (now, result) -> {
          readInFlight = false;
          if (!(result instanceof RequestFailure)) {
            lastStoreResponseAt = now;
          }
          onRead.onResult(now, result);
        });
  }

  /** Watches the key for changes after the given revision. */
  void watchFrom(long revision) {
    seenRevision = revision;
    watch();
  }

  private void watch() {
    watchInFlight = true;
    store.watch(
        Keys.LEADER,
        seenRevision,
        WATCH_MS,
        (now, result) -> {
          watchInFlight = false;
          if (result instanceof WatchBatch) {
            lastStoreResponseAt = now;
          }
          nextReadAt = now + pauseAfter(result);
          if (!following.getAsBoolean()) {
            return;
          }
          if (result instanceof WatchBatch batch && batch.events().isEmpty()) {
            // Nothing changed; keep watching from here without reading the key again.
            seenRevision = Math.max(seenRevision, batch.storeRevision());
            watch();
          } else {
            onWatchEnded.accept(now);
          }
        });
  }

  /** Revokes the lease of an outdated key, and reads the key again after that. */
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
