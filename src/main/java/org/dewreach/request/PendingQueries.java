package org.dewreach.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.state.JobRecordWriter;
import org.dewreach.wire.JobState;

/**
 * Queries, and repeated submissions, of jobs whose end is being written: they wait for the outcome
 * for a moment.
 *
 * <p>If it takes longer, the job's last durable state is told, for as long as the write is
 * certainly not applied. Guards against jobs that cannot be queried while nothing can be written:
 * their ends wait for as long as an outage of the key-value store lasts.
 *
 * <p>While the write may be applied without our knowing, the user is told to retry. Guards against
 * telling an older state than another node has told: it may have read the new record while the
 * response to our write was still on its way.
 */
final class PendingQueries {
  /** Users wait 2 s, and a node that forwards a query 1.2 s. A default of this project. */
  private static final long MAX_WAIT_MICROS = 1_000_000;

  /**
   * A query.
   *
   * @param job the job whose end is being written
   * @param responder where the response goes
   * @param respondLastDurable responds with the job's last durable state
   * @param handleAgain handles the request again once the end is durable
   * @param sinceMicros since when it waits
   */
  private record PendingQuery(
      Job job,
      Responder responder,
      Runnable respondLastDurable,
      Runnable handleAgain,
      long sinceMicros) {}

  private final JobRecordWriter recordWriter;
  private final Map<String, List<PendingQuery>> pendingByJob = new HashMap<>();

  PendingQueries(JobRecordWriter recordWriter) {
    this.recordWriter = recordWriter;
  }

  /** True while a write that ends the job has no outcome. */
  static boolean endIsBeingWritten(Job job) {
    return job.phase() == JobPhase.CANCEL_COMMITTING
        || job.phase() == JobPhase.FINALIZING && job.finalState() == JobState.DONE;
  }

  /**
   * Adds a query, which is responded to once the job's end is durable, or after a moment without.
   *
   * @param respondLastDurable responds with the job's last durable state
   * @param handleAgain handles the request again once the end is durable
   */
  void add(
      Job job,
      Responder responder,
      Runnable respondLastDurable,
      Runnable handleAgain,
      long nowMicros) {
    PendingQuery pending =
        new PendingQuery(job, responder, respondLastDurable, handleAgain, nowMicros);
    if (recordWriter.stalled(nowMicros)) {
      respondWithoutEnd(pending);
    } else {
      pendingByJob.computeIfAbsent(job.id(), id -> new ArrayList<>(1)).add(pending);
    }
  }

  private void respondWithoutEnd(PendingQuery pending) {
    if (recordWriter.endInDoubt(pending.job())) {
      pending.responder().respondRetry(RetryReason.END_IN_DOUBT);
    } else {
      pending.respondLastDurable().run();
    }
  }

  /** Responds to queries that have waited for too long, or to all if writes are stalled. */
  void tick(long nowMicros) {
    boolean stalled = recordWriter.stalled(nowMicros);
    for (Iterator<List<PendingQuery>> lists = pendingByJob.values().iterator(); lists.hasNext(); ) {
      List<PendingQuery> ofJob = lists.next();
      ofJob.removeIf(
          pending -> {
            boolean due = stalled || nowMicros - pending.sinceMicros() > MAX_WAIT_MICROS;
            if (due) {
              respondWithoutEnd(pending);
            }
            return due;
          });
      if (ofJob.isEmpty()) {
        lists.remove();
      }
    }
  }

  /** The job's end is durable. */
  void onEndDurable(String jobId) {
    List<PendingQuery> ofJob = pendingByJob.remove(jobId);
    if (ofJob != null) {
      ofJob.forEach(pending -> pending.handleAgain().run());
    }
  }

  /** The term is over: users are told to retry. */
  void close() {
    for (List<PendingQuery> ofJob : pendingByJob.values()) {
      ofJob.forEach(pending -> pending.responder().respondRetry(RetryReason.NO_AUTHORITY));
    }
    pendingByJob.clear();
  }
}
