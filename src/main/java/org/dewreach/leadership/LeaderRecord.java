package org.dewreach.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.wire.Codec;

/**
 * Value of the leader key.
 *
 * @param name the controller that leads
 * @param bootId identifies its process among those of the same name
 */
record LeaderRecord(String name, String bootId) {
  private static final String NAME = "name";
  private static final String BOOT = "boot";

  /** The value to store. */
  ObjectNode encode() {
    return Codec.map().put(NAME, name).put(BOOT, bootId);
  }

  /** Decodes a stored value; a field that is missing is empty. */
  static LeaderRecord decode(JsonNode value) {
    return new LeaderRecord(value.path(NAME).asText(), value.path(BOOT).asText());
  }
}
