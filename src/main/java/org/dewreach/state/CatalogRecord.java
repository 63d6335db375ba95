package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.MalformedException;

/** Stored form of the machine type catalog: that of the cloud provider. */
final class CatalogRecord {
  private CatalogRecord() {}

  /** The value to store. */
  static ObjectNode encode(List<MachineType> types) {
    return MachineType.catalogNode(types);
  }

  /**
   * Decodes a stored value.
   *
   * @throws MalformedException if a type in it cannot be read
   */
  static List<MachineType> decode(JsonNode value) throws MalformedException {
    return MachineType.parseCatalog(value);
  }
}
