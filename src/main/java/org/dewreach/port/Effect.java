package org.dewreach.port;

import com.fasterxml.jackson.databind.JsonNode;

/** Something the core wants done outside. */
public sealed interface Effect {
  /**
   * Answers a request.
   *
   * @param retryAfterS value of the Retry-After header, or 0 for none
   */
  record Respond(long requestId, int status, JsonNode body, int retryAfterS) implements Effect {}

  /** Sends a request; exactly one {@link Event.Reply} follows, after the timeout at the latest. */
  record Call(
      long callId, Target target, String method, String path, JsonNode body, long timeoutMicros)
      implements Effect {}
}
