package org.dewreach.port;

import com.fasterxml.jackson.databind.JsonNode;

/** Something that happened outside the core. Every event is handled at a given time. */
public sealed interface Event {
  /** Who sent a request. */
  enum Source {
    /** Users, workers and health checks, at the public address. */
    PUBLIC,
    /** Another controller. */
    PEER
  }

  /**
   * A request to be answered with exactly one {@link Effect.Respond}.
   *
   * @param body the decoded body; null if there was none or it could not be decoded
   */
  record Request(long requestId, Source source, String method, String path, JsonNode body)
      implements Event {}

  /**
   * The outcome of an {@link Effect.Call}.
   *
   * @param status the HTTP status, or 0 if no response came: the call may still be carried out
   */
  record Reply(long callId, int status, JsonNode body) implements Event {}

  /** Time has passed. */
  record Tick() implements Event {}
}
