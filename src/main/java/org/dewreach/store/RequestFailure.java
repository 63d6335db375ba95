package org.dewreach.store;

import org.dewreach.wire.HttpStatus;

/**
 * The failure of a request to the key-value store.
 *
 * @param cause why the request failed
 * @param status the HTTP status, or 0 if no response came
 */
public record RequestFailure(Cause cause, int status)
    implements ReadResult, RangeResult, WatchResult, LeaseResult, TransactionResult {

  /** Why a request failed. */
  public enum Cause {
    /** No response came in time: the request may have been executed, or may yet be. */
    NO_RESPONSE,
    /** The caller exceeded the store's rate limit; the request was not executed. */
    RATE_LIMITED,
    /** The store is unavailable for now; the request was not executed. */
    UNAVAILABLE,
    /** The store does not accept this request; it was not executed. */
    REJECTED,
    /**
     * The response has a status that the protocol does not name, for example that of a proxy: the
     * request may have been executed, or may yet be.
     */
    UNEXPECTED_STATUS
  }

  private static final int STATUSES_PER_CLASS = 100;
  private static final int CLIENT_ERROR_CLASS = 4;

  /** Returns the failure for an HTTP status. */
  public static RequestFailure ofStatus(int status) {
    Cause cause =
        switch (status) {
          case 0 -> Cause.NO_RESPONSE;
          case HttpStatus.TOO_MANY_REQUESTS -> Cause.RATE_LIMITED;
          case HttpStatus.UNAVAILABLE -> Cause.UNAVAILABLE;
          default -> isClientError(status) ? Cause.REJECTED : Cause.UNEXPECTED_STATUS;
        };
    return new RequestFailure(cause, status);
  }

  private static boolean isClientError(int status) {
    return status / STATUSES_PER_CLASS == CLIENT_ERROR_CLASS;
  }

  /** Returns the cause and the status, for log lines. */
  @Override
  public String toString() {
    return status == 0 ? cause.name() : cause + "(" + status + ")";
  }
}
