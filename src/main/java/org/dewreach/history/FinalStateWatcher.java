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
 * Follows the final records in the state service, on every controller and through all terms.
 *
 * <p>After a start it lists what is there, as far as there is room, and then watches for more from
 * the revision at which the list began. Guards against jobs that only the leader knew which ended
 * them: when it was gone and the state service out of reach, nothing could be told about them.
 */
public final class FinalStateWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(FinalStateWatcher.class);

  /** About 50 KiB a page. */
  private static final int PAGE_SIZE = 500;

  private static final long WATCH_MS = 10_000;

  /**
   * Pause between two requests: two of them a second, of each controller, at the most. A default of
   * this project.
   */
  private static final long PAUSE_MICROS = 500_000;

  private static final long RETRY_MICROS = 1_000_000;

  /** Named states of the watcher. */
  private enum Phase {
    /** Pages are to be read. */
    LISTING,
    /** A page was asked for. */
    READING,
    /** The next watch is to be opened. */
    PAUSED,
    /** A watch is open. */
    WATCHING
  }

  private final KeyValueStore state;
  private final FinalStates finalStates;
  private Phase phase = Phase.LISTING;
  private long nextRequestAt;
  private String after;
  private long revision = -1;

  /** A watcher that adds what it finds to the given states. */
  public FinalStateWatcher(KeyValueStore state, FinalStates finalStates) {
    this.state = state;
    this.finalStates = finalStates;
  }

  private void become(Phase next, long notBefore) {
    phase = next;
    nextRequestAt = notBefore;
  }

  /** Sends the next request if it is time. */
  public void tick(long nowMicros) {
    if (nowMicros < nextRequestAt) {
      return;
    }
    switch (phase) {
      case LISTING -> {
        become(Phase.READING, nowMicros);
        state.range(Keys.FINAL_STATES, after, PAGE_SIZE, this::onPage);
      }
      case PAUSED -> {
        become(Phase.WATCHING, nowMicros);
        state.watch(Keys.FINAL_STATES, revision, WATCH_MS, this::onChanges);
      }
      case READING, WATCHING -> {
        // a request is under way
      }
    }
  }

  /** The revision up to which the ends of jobs are known; -1 if none is. */
  public long revision() {
    return revision;
  }

  private void onPage(long nowMicros, RangeResult result) {
    if (!(result instanceof RangePage page)) {
      become(Phase.LISTING, nowMicros + RETRY_MICROS);
      return;
    }
    if (after == null) {
      revision = page.storeRevision();
    }
    for (KeyValue entry : page.entries()) {
      after = entry.key();
      FinalState found = decode(entry);
      if (found != null) {
        finalStates.listed(jobId(after), found);
      }
    }
    if (page.more() && !finalStates.full()) {
      become(Phase.LISTING, nowMicros + PAUSE_MICROS);
    } else {
      LOG.info("{} final states known at revision {}", finalStates.size(), revision);
      become(Phase.PAUSED, nowMicros);
    }
  }

  private void onChanges(long nowMicros, WatchResult result) {
    if (result instanceof WatchResult.Compacted) {
      LOG.info("changes after revision {} are not kept any more, listing anew", revision);
      after = null;
      become(Phase.LISTING, nowMicros);
      return;
    }
    if (!(result instanceof WatchBatch batch)) {
      become(Phase.PAUSED, nowMicros + RETRY_MICROS);
      return;
    }
    for (KeyValue entry : batch.puts()) {
      FinalState found = decode(entry);
      if (found != null) {
        finalStates.ended(jobId(entry.key()), found);
      }
    }
    revision = batch.storeRevision();
    become(Phase.PAUSED, nowMicros + PAUSE_MICROS);
  }

  private static String jobId(String key) {
    return key.substring(Keys.FINAL_STATES.length());
  }

  private static FinalState decode(KeyValue entry) {
    try {
      return FinalStateRecord.decode(entry.value());
    } catch (MalformedException e) {
      LOG.error("{} not understood, left alone: {}", entry.key(), e.getMessage());
      return null;
    }
  }
}
