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
    /** The store does not accept this request. */
    REJECTED
  }

  /** Returns the failure for an HTTP status. */
  public static RequestFailure ofStatus(int status) {
    Cause cause =
        switch (status) {
          case 0 -> Cause.NO_RESPONSE;
          case HttpStatus.TOO_MANY_REQUESTS -> Cause.RATE_LIMITED;
          case HttpStatus.UNAVAILABLE -> Cause.UNAVAILABLE;
          default -> Cause.REJECTED;
        };
    return new RequestFailure(cause, status);
  }

  /** Returns the cause and the status, for log lines. */
  @Override
  public String toString() {
    return status == 0 ? cause.name() : cause + "(" + status + ")";
  }
}
