package org.dewreach.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The response to a heartbeat that was sent to a follower.
 *
 * @param leader the name of the leader
 */
public record HeartbeatRedirect(String leader) {
  /** Returns the response's wire form. */
  public ObjectNode toNode() {
    return Codec.map().put("steward", leader);
  }
}
