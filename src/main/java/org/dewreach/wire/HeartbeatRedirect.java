package org.dewreach.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The answer to a heartbeat at a node that does not lead.
 *
 * @param leader the name of the node that does
 */
public record HeartbeatRedirect(String leader) {
  /** The response as a worker reads it. */
  public ObjectNode toNode() {
    return Codec.map().put("steward", leader);
  }
}
