package org.dewreach.store;

import org.dewreach.wire.HttpStatus;

/**
 * A request to the key-value store that has no result.
 *
 * @param cause why it has none
 * @param status the HTTP status, or 0 if no response came
 */
public record RequestFailure(Cause cause, int status)
    implements ReadResult, RangeResult, WatchResult, LeaseResult, TransactionResult {

  /** Why a request has no result. */
  public enum Cause {
    /** No response came in time: the request may have been executed, or may yet be. */
    NO_RESPONSE,
    /** The store limits the caller's rate; the request was not executed. */
    RATE_LIMITED,
    /** The store cannot serve now; the request was not executed. */
    UNAVAILABLE,
    /** The store does not accept the request as it is. */
    REJECTED
  }

  /** The failure that a status stands for. */
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

  /** The cause and the status, for log lines. */
  @Override
  public String toString() {
    return status == 0 ? cause.name() : cause + "(" + status + ")";
  }
}
