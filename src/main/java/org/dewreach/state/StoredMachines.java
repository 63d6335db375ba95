package org.dewreach.state;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The entries of all stored machine pages, merged by machine.
 *
 * <p>A leader that ended while it split a page leaves machines in two records. Such a machine
 * belongs to the page read last. It counts as registered for commands if either record says so:
 * guards against starting tasks elsewhere that may still run on it.
 */
final class StoredMachines {
  /**
   * A page whose record contains machines of another page.
   *
   * @param outdatedPage the page that is to be written without them
   * @param owningPage the page that they belong to, whose record has to be written first
   */
  record Overlap(int outdatedPage, int owningPage) {}

  private record StoredMachine(int pageNumber, MachinePageRecord.Entry entry) {}

  private final Map<String, StoredMachine> machines = new LinkedHashMap<>();
  private final Set<Overlap> overlaps = new LinkedHashSet<>();

  void add(int pageNumber, MachinePageRecord.Entry entry) {
    StoredMachine other = machines.get(entry.name());
    if (other != null) {
      overlaps.add(new Overlap(other.pageNumber(), pageNumber));
    }
    MachinePageRecord.Entry merged = other == null ? entry : merge(other.entry(), entry);
    machines.put(entry.name(), new StoredMachine(pageNumber, merged));
  }

  private static MachinePageRecord.Entry merge(
      MachinePageRecord.Entry first, MachinePageRecord.Entry second) {
    return new MachinePageRecord.Entry(
        second.name(),
        second.type(),
        second.zone(),
        second.spot(),
        Math.min(first.knownSinceWallMicros(), second.knownSinceWallMicros()),
        first.commandable() || second.commandable());
  }

  /** Passes each machine's page number and entry to the consumer, in the order of reading. */
  void forEach(BiConsumer<Integer, MachinePageRecord.Entry> consumer) {
    machines.values().forEach(stored -> consumer.accept(stored.pageNumber(), stored.entry()));
  }

  /** Returns the pages whose records contain machines of other pages. */
  Set<Overlap> overlaps() {
    return overlaps;
  }
}
