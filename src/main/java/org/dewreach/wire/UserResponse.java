package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The response to a user's request.
 *
 * @param status the HTTP status
 * @param body the body, or null for none
 * @param retryAfterSeconds value of the Retry-After header, or 0 for none
 */
public record UserResponse(int status, Body body, int retryAfterSeconds) {
  private static final int MIN_SERVER_ERROR = 500;

  /** The body of a response; {@link UserResponseCodec} encodes it. */
  public sealed interface Body permits JobStatus, Error, Relayed {}

  /**
   * The reason for which a submission is rejected.
   *
   * @param message the reason, which names the field or the rule
   */
  public record Error(String message) implements Body {}

  /**
   * The body of the leader's response, which a follower relays without decoding it: a leader of a
   * later version may send users fields that this version does not support.
   *
   * @param tree the body as it was received
   */
  public record Relayed(JsonNode tree) implements Body {}

  /** Returns a response with a job's status. */
  public static UserResponse ok(JobStatus jobStatus) {
    return new UserResponse(HttpStatus.OK, jobStatus, 0);
  }

  /** Returns the response to a submission that was accepted. */
  public static UserResponse created(JobStatus jobStatus) {
    return new UserResponse(HttpStatus.CREATED, jobStatus, 0);
  }

  /** Returns a response without a body. */
  public static UserResponse empty(int status) {
    return new UserResponse(status, null, 0);
  }

  /** Returns a response that rejects a submission, with the reason. */
  public static UserResponse rejected(int status, String message) {
    return new UserResponse(status, new Error(message), 0);
  }

  /** Returns a response that asks the user to retry after the given time. */
  public static UserResponse unavailable(int retryAfterSeconds) {
    return new UserResponse(HttpStatus.UNAVAILABLE, null, retryAfterSeconds);
  }

  /** True if the request was not executed because of a condition on the server side. */
  public boolean isServerError() {
    return status >= MIN_SERVER_ERROR;
  }
}
