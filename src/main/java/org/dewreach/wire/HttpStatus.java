package org.dewreach.wire;

/**
 * The HTTP status codes that the protocols of users, workers, the cloud and the key-value store
 * use.
 */
public final class HttpStatus {
  /** The request was executed. */
  public static final int OK = 200;

  /** A job was accepted. */
  public static final int CREATED = 201;

  /** The request is malformed. */
  public static final int BAD_REQUEST = 400;

  /** The requested resource does not exist. */
  public static final int NOT_FOUND = 404;

  /** A precondition of the request does not hold. */
  public static final int CONFLICT = 409;

  /** The requested resource existed and has ended. */
  public static final int GONE = 410;

  /** The request must be sent to another controller, which the response names. */
  public static final int MISDIRECTED = 421;

  /** The request is well formed but can never be fulfilled. */
  public static final int UNPROCESSABLE = 422;

  /** The caller exceeds its rate limit. */
  public static final int TOO_MANY_REQUESTS = 429;

  /** The request cannot be served at present; the caller retries. */
  public static final int UNAVAILABLE = 503;

  private HttpStatus() {}
}
