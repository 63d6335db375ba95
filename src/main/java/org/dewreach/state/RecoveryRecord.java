package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.wire.Codec;

/**
 * Stored form of a recovery that is open over several terms.
 *
 * @param sinceWallMicros time of day at which the first of these terms began to recover
 * @param lastOpenWallMicros time of day at which a leader last noted that it is open
 */
record RecoveryRecord(long sinceWallMicros, long lastOpenWallMicros) {
  /** The value to store. */
  ObjectNode encode() {
    return Codec.map().put("since", sinceWallMicros).put("open", lastOpenWallMicros);
  }

  /** Decodes a stored value; missing times are 0, which is long ago. */
  static RecoveryRecord decode(JsonNode value) {
    return new RecoveryRecord(value.path("since").asLong(0), value.path("open").asLong(0));
  }
}
