package org.dewreach.cloud;

import java.util.List;
import org.dewreach.wire.MachineType;

/** The outcome of reading the machine type catalog. */
public sealed interface CatalogResult permits CatalogResult.Catalog, CloudFailure {
  /**
   * The catalog.
   *
   * @param types the machine types on offer, at their current prices
   */
  record Catalog(List<MachineType> types) implements CatalogResult {}
}
