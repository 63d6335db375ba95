package org.dewreach.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.wire.Codec;

/**
 * The value of the leader key.
 *
 * @param name the name of the controller that leads
 * @param bootId identifies the process among all processes of that controller
 */
record LeaderRecord(String name, String bootId) {
  private static final String NAME = "name";
  private static final String BOOT = "boot";

  /** Returns the value to store. */
  ObjectNode encode() {
    return Codec.map().put(NAME, name).put(BOOT, bootId);
  }

  /** Decodes a stored value; a missing field becomes an empty string. */
  static LeaderRecord decode(JsonNode value) {
    return new LeaderRecord(value.path(NAME).asText(), value.path(BOOT).asText());
  }
}
