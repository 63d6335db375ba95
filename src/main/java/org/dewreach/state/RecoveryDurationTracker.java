package org.dewreach.state;

import java.util.List;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.ConditionalWrite;
import org.dewreach.store.KeyValue;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.Mutation;
import org.dewreach.store.ReadResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells for how long no leader has finished its recovery, counted over terms.
 *
 * <p>Whatever a leader counts from its own beginning is never over if leaders change often enough.
 * The time of day at which the first of them began to recover is therefore stored, and each leader
 * whose recovery is held up by silent machines notes that it is still open. A recovery that is not
 * held up costs neither a read nor a write.
 */
public final class RecoveryDurationTracker {
  private static final Logger LOG = LoggerFactory.getLogger(RecoveryDurationTracker.class);

  private static final long RECORD_INTERVAL_MICROS = 10_000_000;

  /** A recovery that nobody has noted for this long is over: its record was left behind. */
  private static final long RECORD_VALIDITY_MICROS = 45_000_000;

  private static final long READ_RETRY_MICROS = 1_000_000;
  private static final long MICROS_PER_MS = 1_000;

  private enum Phase {
    /** The record is not read yet. */
    READ_DUE,
    /** The record is being read. */
    READING,
    /** What is stored is known. */
    KNOWN,
    /** A change of the record is on its way. */
    WRITING,
    /** The term is over. */
    CLOSED
  }

  private final KeyValueStore store;
  private final CommitQueue queue;
  private final long wallOffsetMicros;
  private Phase phase = Phase.READ_DUE;
  private RecoveryRecord stored;
  private long nextReadAt;

  /**
   * A clock of one term.
   *
   * @param wallOffsetMicros time of day minus event time
   */
  public RecoveryDurationTracker(KeyValueStore store, CommitQueue queue, long wallOffsetMicros) {
    this.store = store;
    this.queue = queue;
    this.wallOffsetMicros = wallOffsetMicros;
  }

  private void become(Phase next) {
    if (phase != Phase.CLOSED) {
      phase = next;
    }
  }

  /** Ignores all later answers: the term is over. */
  public void close() {
    become(Phase.CLOSED);
  }

  /** For how long recovery has been open over all terms, as far as it was noted; or 0. */
  public long openMicros(long nowMicros) {
    return stored == null ? 0 : Math.max(0, wallMicros(nowMicros) - stored.sinceWallMicros());
  }

  /**
   * Notes that this term is still recovering, held up by machines that are silent.
   *
   * @param recoveringSince when this term began to recover
   */
  public void recordOpen(long recoveringSince, long nowMicros) {
    if (phase == Phase.READ_DUE && nowMicros >= nextReadAt) {
      read();
    } else if (phase == Phase.KNOWN) {
      writeOpen(recoveringSince, nowMicros);
    }
  }

  /** Notes that this term has finished its recovery. */
  public void recordFinished(long nowMicros) {
    if (phase == Phase.KNOWN && stored != null) {
      LOG.info("recovery finished: open_ms={}", openMicros(nowMicros) / MICROS_PER_MS);
      write(null, nowMicros);
    }
  }

  private void read() {
    become(Phase.READING);
    store.get(
        Keys.RECOVERY,
        (now, result) -> {
          if (phase == Phase.READING) {
            onRead(result, now);
          }
        });
  }

  private void onRead(ReadResult result, long nowMicros) {
    if (result instanceof KeyValue entry) {
      RecoveryRecord read = RecoveryRecord.decode(entry.value());
      boolean valid = wallMicros(nowMicros) - read.lastOpenWallMicros() < RECORD_VALIDITY_MICROS;
      stored = valid ? read : null;
      become(Phase.KNOWN);
    } else if (result instanceof ReadResult.Absent) {
      become(Phase.KNOWN);
    } else {
      nextReadAt = nowMicros + READ_RETRY_MICROS;
      become(Phase.READ_DUE);
    }
  }

  private void writeOpen(long recoveringSince, long nowMicros) {
    long wallMicros = wallMicros(nowMicros);
    if (stored == null) {
      write(new RecoveryRecord(wallMicros(recoveringSince), wallMicros), nowMicros);
    } else if (wallMicros - stored.lastOpenWallMicros() >= RECORD_INTERVAL_MICROS) {
      write(new RecoveryRecord(stored.sinceWallMicros(), wallMicros), nowMicros);
    }
  }

  /** Writes the record, or removes it if it is null. The leader alone changes it. */
  private void write(RecoveryRecord next, long nowMicros) {
    Mutation mutation =
        next == null ? Mutation.delete(Keys.RECOVERY) : Mutation.put(Keys.RECOVERY, next.encode());
    ConditionalWrite write =
        new ConditionalWrite(
            List.of(),
            List.of(mutation),
            ConditionalWrite.Urgency.DEFERRABLE,
            (now, outcome, revision) -> become(Phase.KNOWN));
    become(Phase.WRITING);
    if (queue.offer(nowMicros, write)) {
      stored = next;
    } else {
      become(Phase.KNOWN);
    }
  }

  private long wallMicros(long eventMicros) {
    return eventMicros + wallOffsetMicros;
  }
}
