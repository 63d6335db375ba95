package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.wire.Codec;

/**
 * The stored form of a recovery that is open over several terms.
 *
 * @param sinceWallMicros the wall-clock time at which the first of these terms began to recover
 * @param lastOpenWallMicros the wall-clock time at which a leader last recorded that the recovery
 *     is open
 */
record RecoveryRecord(long sinceWallMicros, long lastOpenWallMicros) {
  /** Returns the value to store. */
  ObjectNode encode() {
    return Codec.map().put("since", sinceWallMicros).put("open", lastOpenWallMicros);
  }

  /** Decodes a stored value; missing times are read as 0, which is long ago. */
  static RecoveryRecord decode(JsonNode value) {
    return new RecoveryRecord(value.path("since").asLong(0), value.path("open").asLong(0));
  }
}
