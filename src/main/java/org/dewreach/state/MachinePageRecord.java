package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dewreach.wire.Codec;

/** The stored form of a page of machines: an array of the other columns for each machine name. */
record MachinePageRecord(List<Entry> entries) {
  private static final String MACHINES = "machines";
  private static final int TYPE_COLUMN = 0;
  private static final int ZONE_COLUMN = 1;
  private static final int SPOT_COLUMN = 2;
  private static final int KNOWN_SINCE_COLUMN = 3;
  private static final int COMMANDABLE_COLUMN = 4;

  /**
   * The entry of one machine.
   *
   * @param knownSinceWallMicros the wall-clock time at which the machine was rented or found
   * @param commandable true if commands may have been sent to the machine
   */
  record Entry(
      String name,
      String type,
      String zone,
      boolean spot,
      long knownSinceWallMicros,
      boolean commandable) {}

  /** Returns the value to store. */
  ObjectNode encode() {
    ObjectNode value = Codec.map();
    ObjectNode machines = value.putObject(MACHINES);
    for (Entry entry : entries) {
      machines
          .putArray(entry.name())
          .add(entry.type())
          .add(entry.zone())
          .add(entry.spot())
          .add(entry.knownSinceWallMicros())
          .add(entry.commandable());
    }
    return value;
  }

  /** Decodes a stored value. Entries that cannot be read are kept, with default values. */
  static MachinePageRecord decode(JsonNode value) {
    List<Entry> entries = new ArrayList<>();
    for (Map.Entry<String, JsonNode> field : value.path(MACHINES).properties()) {
      JsonNode columns = field.getValue();
      entries.add(
          new Entry(
              field.getKey(),
              columns.path(TYPE_COLUMN).asText(),
              columns.path(ZONE_COLUMN).asText(),
              columns.path(SPOT_COLUMN).asBoolean(),
              columns.path(KNOWN_SINCE_COLUMN).asLong(),
              // Commands may have been sent to a machine whose entry cannot be read.
              columns.path(COMMANDABLE_COLUMN).asBoolean(true)));
    }
    return new MachinePageRecord(entries);
  }
}
