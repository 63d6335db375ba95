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
 * Queries, and repeated submissions, of jobs whose final state is being written. They wait for the
 * outcome of the write for a bounded time.
 *
 * <p>After that time, the response reports the job's last durable state if the write is certainly
 * not applied. Guards against jobs that cannot be queried while writes are stalled: their final
 * states wait for as long as an outage of the key-value store lasts.
 *
 * <p>While the write may have been applied without a response, the user is told to retry. Guards
 * against reporting an older state than another controller has reported: that controller may have
 * read the new record while the response to the write was still in transit.
 */
final class PendingQueries {
  /** Users wait 2 s for a response, and a controller that forwards a query waits 1.2 s. */
  private static final long MAX_WAIT_MICROS = 1_000_000;

  /**
   * A waiting query or repeated submission.
   *
   * @param job the job whose final state is being written
   * @param responder sends the response
   * @param respondLastDurable responds with the job's last durable state
   * @param handleAgain handles the request again once the final state is durable
   * @param sinceMicros when it began to wait
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

  /** True while a write of the job's final state has no outcome. */
  static boolean isFinalStateBeingWritten(Job job) {
    return job.phase() == JobPhase.CANCEL_COMMITTING
        || job.phase() == JobPhase.FINALIZING && job.finalState() == JobState.DONE;
  }

  /**
   * Adds a query. Its response is sent once the job's final state is durable, or without it after a
   * bounded time.
   *
   * @param respondLastDurable responds with the job's last durable state
   * @param handleAgain handles the request again once the final state is durable
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
      respondWithoutFinalState(pending);
    } else {
      pendingByJob.computeIfAbsent(job.id(), id -> new ArrayList<>(1)).add(pending);
    }
  }

  private void respondWithoutFinalState(PendingQuery pending) {
    if (recordWriter.endInDoubt(pending.job())) {
      pending.responder().respondRetry(RetryReason.END_IN_DOUBT);
    } else {
      pending.respondLastDurable().run();
    }
  }

  /**
   * Responds to queries that have been pending for too long, or to all queries if writes are
   * stalled.
   */
  void tick(long nowMicros) {
    boolean stalled = recordWriter.stalled(nowMicros);
    for (Iterator<List<PendingQuery>> lists = pendingByJob.values().iterator(); lists.hasNext(); ) {
      List<PendingQuery> ofJob = lists.next();
      ofJob.removeIf(
          pending -> {
            boolean due = stalled || nowMicros - pending.sinceMicros() > MAX_WAIT_MICROS;
            if (due) {
              respondWithoutFinalState(pending);
            }
            return due;
          });
      if (ofJob.isEmpty()) {
        lists.remove();
      }
    }
  }

  /** Called once the job's final state is durable. */
  void onFinalStateDurable(String jobId) {
    List<PendingQuery> ofJob = pendingByJob.remove(jobId);
    if (ofJob != null) {
      ofJob.forEach(pending -> pending.handleAgain().run());
    }
  }

  /** Ends the term: sends a retry response to all waiting users. */
  void close() {
    for (List<PendingQuery> ofJob : pendingByJob.values()) {
      ofJob.forEach(pending -> pending.responder().respondRetry(RetryReason.NO_AUTHORITY));
    }
    pendingByJob.clear();
  }
}
