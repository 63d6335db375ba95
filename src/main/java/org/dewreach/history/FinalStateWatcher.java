package org.dewreach.history;

import org.dewreach.store.KeyValue;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.RangePage;
import org.dewreach.store.RangeResult;
import org.dewreach.store.WatchBatch;
import org.dewreach.store.WatchResult;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the final states in the key-value store, on every controller and across all terms.
 *
 * <p>After a start it lists the stored states until its memory limit is reached, and then watches
 * for further ones from the revision at which the list began. Guards against final states that only
 * the leader has in memory: with the leader gone and the store unreachable, no query for such a job
 * could be answered.
 */
public final class FinalStateWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(FinalStateWatcher.class);

  /** About 50 KiB per page. */
  private static final int PAGE_SIZE = 500;

  private static final long MAX_WATCH_WAIT_MS = 10_000;

  /** The delay between two requests, so that each controller sends at most two per second. */
  private static final long REQUEST_PAUSE_MICROS = 500_000;

  private static final long RETRY_DELAY_MICROS = 1_000_000;

  private static final long NOT_READ = -1;

  /** Comes before the revision of every change. */
  private static final long FIRST_REVISION = 0;

  private enum Phase {
    /** The next page is to be read. */
    READ_DUE,
    /** A page is being read. */
    READING,
    /** The next watch is to be opened. */
    WATCH_DUE,
    /** A watch is open. */
    WATCHING
  }

  private final KeyValueStore store;
  private final FinalStates finalStates;
  private Phase phase = Phase.READ_DUE;
  private long nextRequestAtMicros;
  private long nextCatchUpAtMicros;
  private String lastKey;
  private long revision = NOT_READ;

  /** Creates a watcher that adds the states it reads to the given ones. */
  public FinalStateWatcher(KeyValueStore store, FinalStates finalStates) {
    this.store = store;
    this.finalStates = finalStates;
  }

  private void schedule(Phase next, long notBefore) {
    phase = next;
    nextRequestAtMicros = notBefore;
  }

  /** Sends the next request if it is due. */
  public void tick(long nowMicros) {
    if (nowMicros < nextRequestAtMicros) {
      return;
    }
    switch (phase) {
      case READ_DUE -> {
        schedule(Phase.READING, nowMicros);
        store.range(Keys.FINAL_STATES, lastKey, PAGE_SIZE, this::onPage);
      }
      case WATCH_DUE -> {
        schedule(Phase.WATCHING, nowMicros);
        store.watch(Keys.FINAL_STATES, revision, MAX_WATCH_WAIT_MS, this::onChanges);
      }
      case READING, WATCHING -> {
        // a request is in flight
      }
    }
  }

  /**
   * Reads the changes up to a revision without waiting, unless the watch has reported them. A new
   * leader calls it with the revision at which it was elected: earlier leaders have ended no job
   * after that.
   */
  public void catchUpTo(long targetRevision, long nowMicros) {
    boolean listed = phase == Phase.WATCH_DUE || phase == Phase.WATCHING;
    if (!listed || revision >= targetRevision || nowMicros < nextCatchUpAtMicros) {
      return;
    }
    nextCatchUpAtMicros = nowMicros + RETRY_DELAY_MICROS;
    store.watch(Keys.FINAL_STATES, revision, 0, this::onCaughtUp);
  }

  private void onCaughtUp(long nowMicros, WatchResult result) {
    if (result instanceof WatchBatch batch) {
      addChanges(batch);
    }
  }

  /**
   * Returns the store's revision up to which the final states are known, or -1 before the first
   * page.
   */
  public long revision() {
    return revision;
  }

  private void onPage(long nowMicros, RangeResult result) {
    if (!(result instanceof RangePage page)) {
      schedule(Phase.READ_DUE, nowMicros + RETRY_DELAY_MICROS);
      return;
    }
    if (lastKey == null) {
      revision = page.storeRevision();
    }
    for (KeyValue entry : page.entries()) {
      lastKey = entry.key();
      FinalState finalState = decodeOrNull(entry);
      if (finalState != null) {
        finalStates.addListed(jobId(entry), finalState);
      }
    }
    if (page.more() && !finalStates.isFull()) {
      schedule(Phase.READ_DUE, nowMicros + REQUEST_PAUSE_MICROS);
    } else {
      LOG.info("final states listed: known={} revision={}", finalStates.size(), revision);
      finalStates.cover(page.more() ? revision : FIRST_REVISION, revision);
      schedule(Phase.WATCH_DUE, nowMicros);
    }
  }

  private void onChanges(long nowMicros, WatchResult result) {
    if (result instanceof WatchResult.Compacted) {
      LOG.info("watch of final states compacted, listing again: revision={}", revision);
      lastKey = null;
      finalStates.accepted().clear();
      schedule(Phase.READ_DUE, nowMicros);
      return;
    }
    if (!(result instanceof WatchBatch batch)) {
      schedule(Phase.WATCH_DUE, nowMicros + RETRY_DELAY_MICROS);
      return;
    }
    addChanges(batch);
    schedule(Phase.WATCH_DUE, nowMicros + REQUEST_PAUSE_MICROS);
  }

  private void addChanges(WatchBatch batch) {
    for (KeyValue entry : batch.puts()) {
      FinalState finalState = decodeOrNull(entry);
      if (finalState != null) {
        finalStates.addEnded(jobId(entry), finalState);
      }
    }
    revision = Math.max(revision, batch.storeRevision());
    finalStates.coverUpTo(revision);
  }

  private static String jobId(KeyValue entry) {
    return entry.key().substring(Keys.FINAL_STATES.length());
  }

  private static FinalState decodeOrNull(KeyValue entry) {
    try {
      return FinalStateRecord.decode(entry.value());
    } catch (MalformedException e) {
      LOG.error("record malformed, skipped: key={} cause=\"{}\"", entry.key(), e.getMessage());
      return null;
    }
  }
}
