package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.port.Event;

/**
 * A request that reaches a controller.
 *
 * @param source which of the controller's ports it reaches
 * @param reply where the response goes
 */
record IncomingRequest(
    Event.Source source, String method, String path, JsonNode body, Reply reply) {

  /** Whether a user sent it, and not a worker or another controller. */
  boolean isFromUser() {
    return source == Event.Source.PUBLIC && path.startsWith("/work");
  }
}
