package org.dewreach.peer;

import org.dewreach.wire.JobState;

/**
 * What a controller that does not lead knows to be durable about a job. It includes everything that
 * this process has told users about the job without the leader.
 */
public sealed interface JobKnowledge {
  /**
   * The job has ended, or was cancelled.
   *
   * @param jobState done or cancelled
   * @param done the number of its tasks that were completed
   */
  record Ended(JobState jobState, int done) implements JobKnowledge {}

  /**
   * The job was accepted.
   *
   * @param revision the revision at which its record was last written, as far as is known
   */
  record Accepted(long revision) implements JobKnowledge {}

  /** The controller knows nothing about the job. */
  record Nothing() implements JobKnowledge {}
}
