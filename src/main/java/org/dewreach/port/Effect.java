package org.dewreach.port;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.wire.HttpStatus;

/**
 * Something the core wants done outside.
 *
 * <p>Guards against a process that stands still while its clocks run on, between deciding on an
 * effect and carrying it out: what was decided under authority is carried out only as long as that
 * authority lasts.
 */
public sealed interface Effect {
  /** An effect that needs no authority. */
  long NO_EXPIRY = Long.MAX_VALUE;

  /** Event time after which it must not be carried out. */
  long notAfterMicros();

  /** True if it must not be carried out any more. */
  default boolean isExpired(long nowMicros) {
    return nowMicros > notAfterMicros();
  }

  /**
   * Answers a request.
   *
   * @param retryAfterS value of the Retry-After header, or 0 for none
   */
  record Respond(long requestId, int status, JsonNode body, int retryAfterS, long notAfterMicros)
      implements Effect {
    /** What is answered instead when it is too late: the other side is to ask again. */
    public Respond expiredResponse() {
      return new Respond(requestId, HttpStatus.UNAVAILABLE, null, 1, NO_EXPIRY);
    }
  }

  /**
   * Sends a request; exactly one {@link Event.Reply} follows, after the timeout at the latest. One
   * that is too late is answered with {@link #unsentReply}.
   *
   * @param pool the connections it is sent on
   */
  record Call(
      long callId,
      Target target,
      ConnectionPool pool,
      String method,
      String path,
      JsonNode body,
      long timeoutMicros,
      long notAfterMicros)
      implements Effect {
    /** The outcome of a call that was not sent. */
    public Event.Reply unsentReply() {
      return new Event.Reply(callId, 0, null);
    }
  }
}
