package org.dewreach.request;

import org.dewreach.history.FinalState;
import org.dewreach.model.Job;
import org.dewreach.wire.JobState;
import org.dewreach.wire.JobStatus;
import org.dewreach.wire.UserResponse;

/**
 * A request that is answered with the state of a job: a query, or the repetition of a submission.
 *
 * @param jobId the job's id
 * @param withCounts true if the response contains the numbers of tasks, as that to a query does
 * @param responder sends the response
 * @param handleAgain handles the request from the beginning, because what is known has changed
 */
record StatusRequest(String jobId, boolean withCounts, Responder responder, Runnable handleAgain) {
  /** Responds with the last durable state of the job. */
  void respondWith(Job job) {
    respond(job.jobState(), job.doneCount(), withCounts ? job.runningCount() : 0);
  }

  /** Responds with a final state. */
  void respondWith(FinalState finalState) {
    respond(finalState.jobState(), finalState.done(), 0);
  }

  /** Responds with the state of a job of which no task has begun. */
  void respondNotBegun(JobState jobState) {
    respond(jobState, 0, 0);
  }

  private void respond(JobState jobState, int done, int running) {
    JobStatus jobStatus =
        withCounts
            ? JobStatus.withCounts(jobId, jobState, done, running)
            : JobStatus.withoutCounts(jobId, jobState);
    responder.respond(UserResponse.ok(jobStatus));
  }

  /** Asks the user to retry. */
  void respondRetry(RetryReason reason) {
    responder.respondRetry(reason);
  }
}
