package org.dewreach.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.wire.Codec;

/**
 * A leader whose lease renewals fail asks another controller to let no later term act for a while.
 *
 * @param term the term that the leader holds
 */
public record GrantRequest(long term) {
  /** Where a controller takes such requests. */
  public static final String PATH = "/peer/promise";

  /** Reads the body of a request; a missing term is 0, to which nothing is granted. */
  public static GrantRequest parse(JsonNode body) {
    return new GrantRequest(body.path("term").asLong());
  }

  /** The body of the request. */
  public ObjectNode toNode() {
    return Codec.map().put("term", term);
  }
}
