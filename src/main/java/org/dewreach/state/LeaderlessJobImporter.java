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
import org.dewreach.wire.JobState;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Imports the jobs that other controllers accepted without a leader: reads the stored ones, and
 * watches for further ones.
 *
 * <p>No task of such a job is started before a leader has moved the job's record, in one
 * transaction that is conditional on the leader key. So no earlier leader can have started a task
 * of a job that is imported in the current term.
 */
public final class LeaderlessJobImporter {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderlessJobImporter.class);
  private static final int PAGE_SIZE = 100;
  private static final long WATCH_TIMEOUT_MS = 8_000;
  private static final long RETRY_DELAY_MICROS = 400_000;

  /** The delay after which a job whose new record the store rejected is imported again. */
  private static final long REJECTED_RETRY_DELAY_MICROS = 5_000_000;

  private static final long NOT_LISTED = -1;

  private enum Phase {
    /** All pages are read; a watch reports further jobs. */
    IDLE,
    /** The next page is due to be read. */
    READ_DUE,
    /** A page is being read. */
    READING
  }

  private final KeyValueStore store;
  private final ClusterState clusterState;
  private final JobRecordWriter recordWriter;
  private final Consumer<String> onNotImported;
  private Phase phase = Phase.READ_DUE;
  private String lastKey;
  private long nextReadAt;
  private boolean watching;
  private boolean rereadRequested;
  private long firstPageRevision;
  private long completeUpTo = NOT_LISTED;
  private boolean closed;

  /**
   * Creates an importer for a new term.
   *
   * @param onNotImported called with the id of each job whose import failed, or has to be retried
   */
  public LeaderlessJobImporter(
      KeyValueStore store,
      ClusterState clusterState,
      JobRecordWriter recordWriter,
      Consumer<String> onNotImported) {
    this.onNotImported = onNotImported;
    this.store = store;
    this.clusterState = clusterState;
    this.recordWriter = recordWriter;
  }

  /** Ignores all later responses, because the term is over. */
  public void close() {
    closed = true;
  }

  private void changePhase(Phase next) {
    phase = next;
  }

  /** True once all records that existed when the term began have been read. */
  public boolean listed() {
    return completeUpTo != NOT_LISTED;
  }

  /**
   * Returns a revision up to which all records are known here. A job whose record was written later
   * has not been imported, so none of its tasks has been started.
   */
  public long completeUpTo() {
    return completeUpTo;
  }

  /** Reads the next page of records if a read is due. */
  public void tick(long nowMicros) {
    if (!closed && phase == Phase.READ_DUE && nowMicros >= nextReadAt) {
      changePhase(Phase.READING);
      store.range(Keys.LEADERLESS_JOBS, lastKey, PAGE_SIZE, this::onPage);
    }
  }

  private void onPage(long nowMicros, RangeResult result) {
    if (closed) {
      return;
    }
    changePhase(Phase.READ_DUE);
    if (!(result instanceof RangePage page)) {
      nextReadAt = nowMicros + RETRY_DELAY_MICROS;
      return;
    }
    nextReadAt = nowMicros;
    if (lastKey == null) {
      // Guards against missing a job that is stored, while the pages are read, under a key before
      // the current page: the watch begins at the revision of the first page.
      firstPageRevision = page.storeRevision();
    }
    for (KeyValue entry : page.entries()) {
      lastKey = entry.key();
      importJob(entry, nowMicros);
    }
    if (page.more()) {
      tick(nowMicros);
    } else {
      onLastPage();
    }
  }

  private void onLastPage() {
    lastKey = null;
    if (!rereadRequested) {
      completeUpTo = Math.max(completeUpTo, firstPageRevision);
      changePhase(Phase.IDLE);
    }
    rereadRequested = false;
    if (!watching) {
      watch(firstPageRevision);
    }
  }

  private void watch(long revision) {
    watching = true;
    store.watch(Keys.LEADERLESS_JOBS, revision, WATCH_TIMEOUT_MS, this::onChanges);
  }

  private void onChanges(long nowMicros, WatchResult result) {
    if (closed) {
      return;
    }
    watching = false;
    if (!(result instanceof WatchBatch batch)) {
      requestReread(nowMicros + RETRY_DELAY_MICROS);
      return;
    }
    batch.puts().forEach(entry -> importJob(entry, nowMicros));
    if (phase == Phase.IDLE) {
      completeUpTo = Math.max(completeUpTo, batch.storeRevision());
    }
    watch(batch.storeRevision());
  }

  /** Imports a job, unless it is already being accepted or imported. */
  public void importJob(KeyValue entry, long nowMicros) {
    JobRecord stored;
    try {
      stored = LeaderlessJobRecord.decode(entry.value());
    } catch (MalformedException e) {
      LOG.error("record malformed, skipped: key={} cause=\"{}\"", entry.key(), e.getMessage());
      return;
    }
    String id = stored.spec().id();
    if (clusterState.jobs().containsKey(id)) {
      // The job is being accepted or imported here. If that write conflicts with this record, all
      // records are read again.
      return;
    }
    Job job = new Job(stored.spec(), stored.acceptedWallMicros(), true, JobPhase.PERSISTING);
    job.storedState().leaderlessState(stored.cancelled() ? JobState.CANCELLED : JobState.PENDING);
    clusterState.addJob(job);
    boolean accepted =
        recordWriter.writeImportedJob(
            job,
            entry.revision(),
            stored.cancelled(),
            nowMicros,
            new JobRecordWriter.FirstRecordFailure(
                now -> abandonImport(job, entry.revision(), now),
                now -> abandonImport(job, entry.revision(), now + REJECTED_RETRY_DELAY_MICROS)));
    if (!accepted) {
      abandonImport(job, entry.revision(), nowMicros + RETRY_DELAY_MICROS);
    }
  }

  /**
   * Abandons an import because the record was changed since it was read, because the store rejected
   * the new record, or because the write queue is full. All records are read again.
   */
  private void abandonImport(Job job, long recordRevision, long rereadAtMicros) {
    clusterState.removeJob(job);
    if (listed()) {
      completeUpTo = Math.min(completeUpTo, recordRevision - 1);
    }
    onNotImported.accept(job.id());
    requestReread(rereadAtMicros);
  }

  private void requestReread(long atMicros) {
    nextReadAt = Math.max(nextReadAt, atMicros);
    if (phase == Phase.IDLE) {
      changePhase(Phase.READ_DUE);
    } else {
      rereadRequested = phase == Phase.READING || rereadRequested;
    }
  }
}
