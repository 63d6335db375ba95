package org.dewreach.state;

import java.util.function.Consumer;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
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
 * The leader's eye on jobs that other nodes accepted without it, which it takes over.
 *
 * <p>Nobody starts a task of such a job before a leader moved its record, in one transaction that
 * is conditional on the leader key; so under the term that moved it none can have been started.
 */
public final class LeaderlessJobImporter {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderlessJobImporter.class);
  private static final int PAGE_SIZE = 100;
  private static final long WATCH_MS = 8_000;
  private static final long RETRY_MICROS = 400_000;

  private enum Phase {
    /** Nothing to read; a watch tells of more. */
    IDLE,
    /** To read what is there. */
    LISTING,
    /** A page is on its way. */
    READING
  }

  private final KeyValueStore state;
  private final ClusterState clusterState;
  private final JobRecordWriter recordWriter;
  private final Consumer<String> onNotTakenOver;
  private Phase phase = Phase.LISTING;
  private String after;
  private long againAt;
  private boolean watching;
  private boolean repeat;
  private long listedSince;
  private boolean closed;

  /**
   * The eye of a new term.
   *
   * @param onNotTakenOver told each job that is not taken over after all, or not yet
   */
  public LeaderlessJobImporter(
      KeyValueStore state,
      ClusterState clusterState,
      JobRecordWriter recordWriter,
      Consumer<String> onNotTakenOver) {
    this.onNotTakenOver = onNotTakenOver;
    this.state = state;
    this.clusterState = clusterState;
    this.recordWriter = recordWriter;
  }

  public void close() {
    closed = true;
  }

  private void become(Phase next) {
    phase = next;
  }

  public void tick(long nowMicros) {
    if (!closed && phase == Phase.LISTING && nowMicros >= againAt) {
      become(Phase.READING);
      state.range(Keys.LEADERLESS_JOBS, after, PAGE_SIZE, this::onPage);
    }
  }

  private void onPage(long nowMicros, RangeResult result) {
    if (closed) {
      return;
    }
    become(Phase.LISTING);
    if (!(result instanceof RangePage page)) {
      againAt = nowMicros + RETRY_MICROS;
      return;
    }
    againAt = nowMicros;
    if (after == null) {
      // Guards against a job that is kept under an earlier key than the pages have come to: the
      // watch begins where the first page did.
      listedSince = page.storeRevision();
    }
    for (KeyValue entry : page.entries()) {
      after = entry.key();
      importJob(entry, nowMicros);
    }
    if (page.more()) {
      tick(nowMicros);
    } else {
      after = null;
      if (!repeat) {
        become(Phase.IDLE);
      }
      repeat = false;
      if (!watching) {
        watch(listedSince);
      }
    }
  }

  private void watch(long revision) {
    watching = true;
    state.watch(Keys.LEADERLESS_JOBS, revision, WATCH_MS, this::onChanges);
  }

  private void onChanges(long nowMicros, WatchResult result) {
    if (closed) {
      return;
    }
    watching = false;
    if (!(result instanceof WatchBatch batch)) {
      lookAgain(nowMicros + RETRY_MICROS);
      return;
    }
    batch.puts().forEach(entry -> importJob(entry, nowMicros));
    watch(batch.storeRevision());
  }

  /** Takes a job over, unless that is being done already. */
  public void importJob(KeyValue entry, long nowMicros) {
    JobRecord saved;
    try {
      saved = LeaderlessJobRecord.decode(entry.value());
    } catch (MalformedException e) {
      LOG.error("{} not understood, left alone: {}", entry.key(), e.getMessage());
      return;
    }
    String id = saved.spec().id();
    if (clusterState.jobs().containsKey(id)) {
      // Being accepted or taken over here: if that meets the new record, it is looked at again.
      return;
    }
    Job job = new Job(saved.spec(), saved.acceptedWallMicros(), true, JobPhase.PERSISTING);
    clusterState.jobs().put(id, job);
    boolean taken =
        recordWriter.adopt(
            job, entry.revision(), saved.cancelled(), nowMicros, () -> again(job, nowMicros));
    if (!taken) {
      again(job, nowMicros + RETRY_MICROS);
    }
  }

  /** The record changed meanwhile, or there was no room for the write: read all of them again. */
  private void again(Job job, long atMicros) {
    clusterState.jobs().remove(job.id(), job);
    onNotTakenOver.accept(job.id());
    lookAgain(atMicros);
  }

  /** Reads all of them again, from the time given on. */
  private void lookAgain(long atMicros) {
    againAt = Math.max(againAt, atMicros);
    if (phase == Phase.IDLE) {
      become(Phase.LISTING);
    } else {
      repeat = phase == Phase.READING || repeat;
    }
  }
}
