package org.dewreach.request;

import org.dewreach.wire.JobSubmission;

/** Maps the method and path of a user's HTTP request to a typed request. */
public final class UserRequestParser {
  private static final String JOBS_PATH = "/work";
  private static final String JOB_PREFIX = JOBS_PATH + "/";
  private static final String CANCEL_SUFFIX = "/abort";

  private UserRequestParser() {}

  /**
   * Returns the typed request, or null if no request has this method and path.
   *
   * <p>A submission without a valid job id is returned with a null id.
   *
   * @param body the body, which only a submission reads
   */
  public static UserRequest parse(String method, String path, JobSubmission body) {
    if (path.equals(JOBS_PATH)) {
      return method.equals("POST") ? submit(body) : null;
    }
    if (!path.startsWith(JOB_PREFIX)) {
      return null;
    }
    String rest = path.substring(JOB_PREFIX.length());
    if (method.equals("GET") && rest.indexOf('/') < 0) {
      return new UserRequest.Query(rest);
    }
    if (method.equals("POST") && rest.endsWith(CANCEL_SUFFIX)) {
      return new UserRequest.Cancel(rest.substring(0, rest.length() - CANCEL_SUFFIX.length()));
    }
    return null;
  }

  private static UserRequest submit(JobSubmission submission) {
    return new UserRequest.Submit(submission.jobIdOrNull(), submission);
  }
}
