package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.port.Event;

/**
 * A request that reaches a controller.
 *
 * @param source the listener of the controller that receives it
 * @param reply the receiver of the response
 */
record IncomingRequest(
    Event.Source source, String method, String path, JsonNode body, Reply reply) {

  /**
   * True if a user sent the request, false if a worker, a health check or another controller did.
   */
  boolean isFromUser() {
    return source == Event.Source.PUBLIC && path.startsWith("/work");
  }
}
