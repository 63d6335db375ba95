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
  private static final int SERVER_ERRORS = 500;

  /** The body of a response; {@link UserResponseCodec} encodes it. */
  public sealed interface Body permits JobStatus, Error, Relayed {}

  /**
   * Why a submission is rejected.
   *
   * @param message names the field or the rule
   */
  public record Error(String message) implements Body {}

  /**
   * The body of the leader's response, which a follower relays without decoding it: a leader of a
   * later version may tell users more than this version knows.
   *
   * @param tree the body as it was received
   */
  public record Relayed(JsonNode tree) implements Body {}

  /** Tells a job's status. */
  public static UserResponse ok(JobStatus jobStatus) {
    return new UserResponse(HttpStatus.OK, jobStatus, 0);
  }

  /** Tells that a job was accepted. */
  public static UserResponse created(JobStatus jobStatus) {
    return new UserResponse(HttpStatus.CREATED, jobStatus, 0);
  }

  /** A response without a body. */
  public static UserResponse empty(int status) {
    return new UserResponse(status, null, 0);
  }

  /** Rejects a submission and tells why. */
  public static UserResponse rejected(int status, String message) {
    return new UserResponse(status, new Error(message), 0);
  }

  /** Tells the user to retry after the given time. */
  public static UserResponse unavailable(int retryAfterSeconds) {
    return new UserResponse(HttpStatus.UNAVAILABLE, null, retryAfterSeconds);
  }

  /** True if the request was not carried out for a reason on the servers' side. */
  public boolean isServerError() {
    return status >= SERVER_ERRORS;
  }
}
