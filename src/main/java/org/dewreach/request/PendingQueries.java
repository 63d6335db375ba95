package org.dewreach.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.dewreach.model.Job;
import org.dewreach.state.JobRecordWriter;

/**
 * Questions about jobs whose end is being written, which wait for the outcome for a moment.
 *
 * <p>If it takes longer, the job's last durable state is told, for as long as the write is
 * certainly not applied. Guards against jobs that cannot be asked about while nothing can be
 * written: their ends wait for as long as an outage of the state service lasts.
 *
 * <p>While the write may be applied without our knowing, its user is told to come back. Guards
 * against telling an older state than another node has told: it may have read the new record while
 * the response to our write was still on its way.
 */
final class PendingQueries {
  /** Users wait 2 s, and a node that forwards a question 1.2 s. A default of this project. */
  private static final long MAX_WAIT_MICROS = 1_000_000;

  /**
   * A question.
   *
   * @param tellLastState answers with the job's last durable state
   * @param askAgain answers once the end is durable
   */
  private record Question(
      Job job, Responder answer, Runnable tellLastState, Runnable askAgain, long sinceMicros) {}

  private final JobRecordWriter recordWriter;
  private final Map<String, List<Question>> waiting = new HashMap<>();

  PendingQueries(JobRecordWriter recordWriter) {
    this.recordWriter = recordWriter;
  }

  /** Answers once the job's end is durable, or after a moment without it. */
  void await(Job job, Responder answer, Runnable tellLastState, Runnable askAgain, long nowMicros) {
    Question question = new Question(job, answer, tellLastState, askAgain, nowMicros);
    if (recordWriter.stalled(nowMicros)) {
      answerWithoutEnd(question);
    } else {
      waiting.computeIfAbsent(job.id(), id -> new ArrayList<>(1)).add(question);
    }
  }

  private void answerWithoutEnd(Question question) {
    if (recordWriter.endInDoubt(question.job())) {
      question.answer().later(RetryReason.END_IN_DOUBT);
    } else {
      question.tellLastState().run();
    }
  }

  /** Answers those that have waited for long, or all if writes do not get through. */
  void tick(long nowMicros) {
    boolean stalled = recordWriter.stalled(nowMicros);
    for (Iterator<List<Question>> all = waiting.values().iterator(); all.hasNext(); ) {
      List<Question> questions = all.next();
      questions.removeIf(
          question -> {
            boolean due = stalled || nowMicros - question.sinceMicros() > MAX_WAIT_MICROS;
            if (due) {
              answerWithoutEnd(question);
            }
            return due;
          });
      if (questions.isEmpty()) {
        all.remove();
      }
    }
  }

  /** The job's end is durable. */
  void onEnd(String jobId) {
    List<Question> questions = waiting.remove(jobId);
    if (questions != null) {
      questions.forEach(question -> question.askAgain().run());
    }
  }

  /** The term is over: users are told to come back. */
  void close() {
    waiting
        .values()
        .forEach(all -> all.forEach(item -> item.answer().later(RetryReason.NO_AUTHORITY)));
    waiting.clear();
  }
}
