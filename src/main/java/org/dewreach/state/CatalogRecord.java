package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.MalformedException;

/** The stored form of the machine type catalog, which is the form that the cloud's API uses. */
final class CatalogRecord {
  private CatalogRecord() {}

  /** Returns the value to store. */
  static ObjectNode encode(List<MachineType> types) {
    return MachineType.catalogNode(types);
  }

  /**
   * Decodes a stored value.
   *
   * @throws MalformedException if a machine type in the value cannot be parsed
   */
  static List<MachineType> decode(JsonNode value) throws MalformedException {
    return MachineType.parseCatalog(value);
  }
}
