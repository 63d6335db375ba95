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
 * Tracks for how long recovery has been open over consecutive terms, none of which finished it.
 *
 * <p>A timeout that each leader measures from the start of its own term never expires if leaders
 * change often enough. The wall-clock time at which the first of them began to recover is therefore
 * stored, and each leader whose recovery is blocked by silent machines records that recovery is
 * still open. A recovery that is not blocked costs neither a read nor a write.
 */
public final class RecoveryDurationTracker {
  private static final Logger LOG = LoggerFactory.getLogger(RecoveryDurationTracker.class);

  /** How often the record is updated while recovery is open. */
  private static final long RECORD_INTERVAL_MICROS = 10_000_000;

  /**
   * A record that no leader has updated for this long is stale: the recovery is over, and its
   * record was left behind.
   */
  private static final long RECORD_VALIDITY_MICROS = 45_000_000;

  private static final long RETRY_DELAY_MICROS = 1_000_000;
  private static final long MICROS_PER_MS = 1_000;

  private enum Phase {
    /** The record is not read yet. */
    READ_DUE,
    /** The record is being read. */
    READING,
    /** The stored record, or its absence, is known. */
    KNOWN,
    /** A write of the record is in flight. */
    WRITING,
    /** The term is over. */
    CLOSED
  }

  private final KeyValueStore store;
  private final CommitQueue queue;
  private final long wallOffsetMicros;
  private Phase phase = Phase.READ_DUE;
  private RecoveryRecord stored;
  private long nextRequestAt;

  /**
   * Creates a tracker for one term.
   *
   * @param wallOffsetMicros wall-clock time minus event time
   */
  public RecoveryDurationTracker(KeyValueStore store, CommitQueue queue, long wallOffsetMicros) {
    this.store = store;
    this.queue = queue;
    this.wallOffsetMicros = wallOffsetMicros;
  }

  private void changePhase(Phase next) {
    if (phase != Phase.CLOSED) {
      phase = next;
    }
  }

  /** Ignores all later responses, because the term is over. */
  public void close() {
    changePhase(Phase.CLOSED);
  }

  /**
   * Returns for how long recovery has been open over consecutive terms according to the record, or
   * 0 if there is no valid record.
   */
  public long openMicros(long nowMicros) {
    return stored == null ? 0 : Math.max(0, wallMicros(nowMicros) - stored.sinceWallMicros());
  }

  /**
   * Records that the recovery of this term is still open, blocked by silent machines.
   *
   * @param recoveringSince when the recovery of this term began
   */
  public void recordOpen(long recoveringSince, long nowMicros) {
    if (nowMicros < nextRequestAt) {
      return;
    }
    if (phase == Phase.READ_DUE) {
      read();
    } else if (phase == Phase.KNOWN) {
      writeOpen(recoveringSince, nowMicros);
    }
  }

  /** Records that this term has finished its recovery, by removing the record if there is one. */
  public void recordFinished(long nowMicros) {
    if (phase == Phase.KNOWN && stored != null && nowMicros >= nextRequestAt) {
      LOG.info("recovery finished: open_ms={}", openMicros(nowMicros) / MICROS_PER_MS);
      write(null, nowMicros);
    }
  }

  private void read() {
    changePhase(Phase.READING);
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
      changePhase(Phase.KNOWN);
    } else if (result instanceof ReadResult.Absent) {
      changePhase(Phase.KNOWN);
    } else {
      nextRequestAt = nowMicros + RETRY_DELAY_MICROS;
      changePhase(Phase.READ_DUE);
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

  /**
   * Writes the record, or removes it if {@code next} is null. Needs no precondition on the record,
   * because only the leader changes it.
   */
  private void write(RecoveryRecord next, long nowMicros) {
    Mutation mutation =
        next == null ? Mutation.delete(Keys.RECOVERY) : Mutation.put(Keys.RECOVERY, next.encode());
    ConditionalWrite write =
        new ConditionalWrite(
            List.of(),
            List.of(mutation),
            ConditionalWrite.Urgency.DEFERRABLE,
            (now, outcome, revision) -> onOutcome(next, outcome, now));
    changePhase(Phase.WRITING);
    if (!queue.offer(nowMicros, write)) {
      changePhase(Phase.KNOWN);
    }
  }

  private void onOutcome(RecoveryRecord written, ConditionalWrite.Outcome outcome, long nowMicros) {
    if (outcome == ConditionalWrite.Outcome.WRITTEN) {
      stored = written;
    } else {
      nextRequestAt = nowMicros + RETRY_DELAY_MICROS;
    }
    changePhase(Phase.KNOWN);
  }

  private long wallMicros(long eventMicros) {
    return eventMicros + wallOffsetMicros;
  }
}
