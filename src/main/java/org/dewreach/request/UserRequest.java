package org.dewreach.request;

import org.dewreach.wire.JobSubmission;

/** A user's request. */
public sealed interface UserRequest {
  /** Returns the id of the requested job, or null in a submission without a valid id. */
  String jobId();

  /**
   * POST /work.
   *
   * @param submission the body, which is parsed where the request is handled
   */
  record Submit(String jobId, JobSubmission submission) implements UserRequest {}

  /** GET /work/{id}. */
  record Query(String jobId) implements UserRequest {}

  /** POST /work/{id}/abort. */
  record Cancel(String jobId) implements UserRequest {}
}
