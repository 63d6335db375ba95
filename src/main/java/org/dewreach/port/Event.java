package org.dewreach.port;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An input of the core from its environment. Every event is handled at a given time, called event
 * time, which starts at 0 with the process.
 */
public sealed interface Event {
  /** The sender of a request. */
  enum Source {
    /** Users, workers and health checks, at the public address. */
    PUBLIC,
    /** Another controller. */
    PEER
  }

  /**
   * A request, which needs exactly one {@link Effect.Respond}.
   *
   * @param body the decoded body; null if there was none or it could not be decoded
   */
  record Request(long requestId, Source source, String method, String path, JsonNode body)
      implements Event {}

  /**
   * The outcome of an {@link Effect.Call}.
   *
   * @param status the HTTP status, or 0 if no response came: the call may still be executed
   */
  record Reply(long callId, int status, JsonNode body) implements Event {}

  /** A periodic timer event. */
  record Tick() implements Event {}
}
