package org.dewreach.wire;

/**
 * What a user is told about a job.
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
   * @param done tasks that have completed
   * @param running tasks that run now
   */
  public record TaskCounts(int done, int running) {}

  /** The status in the response to a submission or a cancellation. */
  public static JobStatus withoutCounts(String jobId, JobState jobState) {
    return new JobStatus(jobId, jobState, null);
  }

  /** The status in the response to a query. */
  public static JobStatus withCounts(String jobId, JobState jobState, int done, int running) {
    return new JobStatus(jobId, jobState, new TaskCounts(done, running));
  }
}
