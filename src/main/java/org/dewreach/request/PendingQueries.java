package org.dewreach.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.dewreach.model.Job;
import org.dewreach.state.JobRecordWriter;

/**
 * Queries, and repeated submissions, of jobs whose final state is being written. They wait for the
 * outcome of the write for a bounded time.
 *
 * <p>After that time they are answered without the outcome. Guards against jobs that cannot be
 * queried while writes are stalled: their final states wait for as long as an outage of the
 * key-value store lasts.
 */
final class PendingQueries {
  /** Users wait 2 s for a response, and a controller that forwards a query waits 1.2 s. */
  private static final long MAX_WAIT_MICROS = 1_000_000;

  /**
   * A waiting query or repeated submission.
   *
   * @param job the job whose final state is being written
   * @param request the request
   * @param sinceMicros when it began to wait
   */
  private record PendingQuery(Job job, StatusRequest request, long sinceMicros) {}

  private final JobRecordWriter recordWriter;
  private final BiConsumer<Job, StatusRequest> respondWithoutOutcome;
  private final Map<String, List<PendingQuery>> pendingByJob = new HashMap<>();

  /**
   * Creates an empty collection.
   *
   * @param respondWithoutOutcome responds to a request that is not to wait any longer
   */
  PendingQueries(
      JobRecordWriter recordWriter, BiConsumer<Job, StatusRequest> respondWithoutOutcome) {
    this.recordWriter = recordWriter;
    this.respondWithoutOutcome = respondWithoutOutcome;
  }

  /**
   * Adds a request. It is handled again once the job's final state is durable, or answered without
   * it after a bounded time.
   */
  void add(Job job, StatusRequest request, long nowMicros) {
    if (recordWriter.stalled(nowMicros)) {
      respondWithoutOutcome.accept(job, request);
    } else {
      pendingByJob
          .computeIfAbsent(job.id(), id -> new ArrayList<>(1))
          .add(new PendingQuery(job, request, nowMicros));
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
              respondWithoutOutcome.accept(pending.job(), pending.request());
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
      ofJob.forEach(pending -> pending.request().handleAgain().run());
    }
  }

  /** Ends the term: sends a retry response to all waiting users. */
  void close() {
    for (List<PendingQuery> ofJob : pendingByJob.values()) {
      ofJob.forEach(pending -> pending.request().respondRetry(RetryReason.NO_AUTHORITY));
    }
    pendingByJob.clear();
  }
}
