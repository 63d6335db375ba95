package org.dewreach.wire;

/** The HTTP status codes that the protocols of users, workers, cloud and state service use. */
public final class HttpStatus {
  /** The request was carried out. */
  public static final int OK = 200;

  /** A job was accepted. */
  public static final int CREATED = 201;

  /** The request is malformed. */
  public static final int BAD_REQUEST = 400;

  /** What the request names does not exist. */
  public static final int NOT_FOUND = 404;

  /** A condition of the request does not hold. */
  public static final int CONFLICT = 409;

  /** What the request names existed and has ended. */
  public static final int GONE = 410;

  /** Another node is to be asked, which the response names. */
  public static final int MISDIRECTED = 421;

  /** The request is well formed and can never be fulfilled. */
  public static final int UNPROCESSABLE = 422;

  /** The caller exceeds its rate. */
  public static final int TOO_MANY_REQUESTS = 429;

  /** Not now; the caller is to retry. */
  public static final int UNAVAILABLE = 503;

  private HttpStatus() {}
}
