package org.dewreach.port;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.wire.HttpStatus;

/**
 * An action that the core requests from its environment.
 *
 * <p>Effects that need the leader's authority expire with it. Guards against a process that is
 * suspended, while its clocks continue, between the decision on an effect and its execution: a
 * leader's decision is executed only while the leader still has authority.
 */
public sealed interface Effect {
  /** The expiry of an effect that needs no authority. */
  long NO_EXPIRY = Long.MAX_VALUE;

  /** Returns the event time after which the effect must not be executed. */
  long notAfterMicros();

  /** True if the effect must not be executed any more. */
  default boolean isExpired(long nowMicros) {
    return nowMicros > notAfterMicros();
  }

  /**
   * Responds to a request.
   *
   * @param retryAfterS value of the Retry-After header, or 0 for none
   */
  record Respond(long requestId, int status, JsonNode body, int retryAfterS, long notAfterMicros)
      implements Effect {
    /** Returns the response to send instead of an expired one: the sender is asked to retry. */
    public Respond expiredResponse() {
      return new Respond(requestId, HttpStatus.UNAVAILABLE, null, 1, NO_EXPIRY);
    }
  }

  /**
   * Sends a request; exactly one {@link Event.Reply} follows, after the timeout at the latest. An
   * expired request is not sent; its outcome is {@link #unsentReply}.
   *
   * @param pool the pool of connections that sends the request
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
    /** Returns the outcome of a call that was not sent. */
    public Event.Reply unsentReply() {
      return new Event.Reply(callId, 0, null);
    }
  }
}
