package org.dewreach.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.wire.Codec;

/**
 * The answer to a {@link GrantRequest}.
 *
 * @param granted true if no later term acts at the answering controller while the grant runs
 */
public record GrantResponse(boolean granted) {
  /** Reads the body of a response; without one nothing is granted. */
  public static GrantResponse parse(JsonNode body) {
    return new GrantResponse(body != null && body.path("given").asBoolean(false));
  }

  /** The body of the response. */
  public ObjectNode toNode() {
    return Codec.map().put("given", granted);
  }
}
