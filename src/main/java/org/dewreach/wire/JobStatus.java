package org.dewreach.wire;

/**
 * A job's status, as reported to users.
 *
 * @param jobId the job's id
 * @param jobState its state
 * @param counts its task counts in the response to a query, or null in other responses
 */
public record JobStatus(String jobId, JobState jobState, TaskCounts counts)
    implements UserResponse.Body {

  /**
   * Task counts of a job.
   *
   * @param done the number of tasks that have completed
   * @param running the number of tasks that run now
   */
  public record TaskCounts(int done, int running) {}

  /** Returns the status for the response to a submission or a cancellation. */
  public static JobStatus withoutCounts(String jobId, JobState jobState) {
    return new JobStatus(jobId, jobState, null);
  }

  /** Returns the status for the response to a query. */
  public static JobStatus withCounts(String jobId, JobState jobState, int done, int running) {
    return new JobStatus(jobId, jobState, new TaskCounts(done, running));
  }
}
