package org.dewreach.request;

import com.fasterxml.jackson.databind.JsonNode;

/** Where the answer to a user's request goes, whichever node took the request. */
@FunctionalInterface
public interface Responder {
  void send(int status, JsonNode body, int retryAfterS);

  /** Tells the user to come back. */
  default void later(RetryReason reason) {
    send(503, null, 1);
  }
}
