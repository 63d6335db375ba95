package org.dewreach.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.dewreach.model.Machine;

/** A page of the machine registry: the machines that share a stored record. */
final class MachinePage {
  /** The estimated size of an entry without the names of its machine, type and zone. */
  private static final int ENTRY_OVERHEAD_BYTES = 48;

  private final int number;
  private final Set<Machine> machines = new LinkedHashSet<>();

  /** The machines that are to be registered for commands. */
  private final Set<Machine> pendingCommandable = new LinkedHashSet<>();

  /** The machines that are durably registered for commands. */
  private final Set<Machine> commandable = new LinkedHashSet<>();

  /**
   * The pages that own machines of this page's record and whose records do not contain them yet.
   * Until they do, this page's record is not written, because it may be the only one that does.
   */
  private final Set<MachinePage> awaitedPages = new HashSet<>();

  private long revision;
  private int bytes;
  private long writeDueAt = Long.MAX_VALUE;
  private boolean writing;

  MachinePage(int number) {
    this.number = number;
  }

  /** Returns the estimated size of a machine's entry in the JSON form. */
  static int estimatedBytes(Machine machine) {
    return ENTRY_OVERHEAD_BYTES
        + machine.name().length()
        + machine.type().name().length()
        + machine.zone().length();
  }

  int number() {
    return number;
  }

  /** Returns the revision of the page's record, or 0 if there is none. */
  long revision() {
    return revision;
  }

  /** Sets the revision of the page's record. */
  void revision(long newRevision) {
    revision = newRevision;
  }

  /** Returns a read-only view of the page's machines. */
  Set<Machine> machines() {
    return Collections.unmodifiableSet(machines);
  }

  /** Returns the estimated size of the page's record. */
  int bytes() {
    return bytes;
  }

  boolean writing() {
    return writing;
  }

  boolean hasPendingCommandable() {
    return !pendingCommandable.isEmpty();
  }

  /** True if machines may be added: nothing has to be written before the page's record. */
  boolean accepts(Machine machine, int maxBytes) {
    return awaitedPages.isEmpty() && bytes + estimatedBytes(machine) <= maxBytes;
  }

  /** True if the page has to be split: its record would be larger than allowed. */
  boolean oversized(int maxBytes) {
    return bytes > maxBytes && machines.size() > 1;
  }

  void add(Machine machine) {
    if (machines.add(machine)) {
      bytes += estimatedBytes(machine);
    }
  }

  /** Adds a machine that is durably registered for commands. */
  void addCommandable(Machine machine) {
    add(machine);
    commandable.add(machine);
  }

  /**
   * Records that a machine of the page is to be registered for commands; false if it is already.
   */
  boolean requestCommandable(Machine machine) {
    return !commandable.contains(machine) && pendingCommandable.add(machine);
  }

  void remove(Machine machine) {
    if (machines.remove(machine)) {
      bytes -= estimatedBytes(machine);
    }
    pendingCommandable.remove(machine);
    commandable.remove(machine);
  }

  /**
   * Moves a machine to a page whose record will contain it before this page's record is written.
   */
  void moveTo(MachinePage other, Machine machine) {
    boolean pending = pendingCommandable.contains(machine);
    boolean durable = commandable.contains(machine);
    remove(machine);
    other.add(machine);
    if (durable) {
      other.commandable.add(machine);
    } else if (pending) {
      other.pendingCommandable.add(machine);
    }
    awaitWrite(other);
  }

  /** Defers writes of this page's record until the record of another page is written. */
  void awaitWrite(MachinePage other) {
    awaitedPages.add(other);
  }

  /** Returns the machines that exceed the given size, in order; the first machine never does. */
  List<Machine> surplus(int maxBytes) {
    List<Machine> surplus = new ArrayList<>();
    int kept = 0;
    for (Machine machine : machines) {
      int entryBytes = estimatedBytes(machine);
      if (kept > 0 && kept + entryBytes > maxBytes) {
        surplus.add(machine);
      } else {
        kept += entryBytes;
      }
    }
    return surplus;
  }

  /** Makes a write of the record due at the given time, unless it is due earlier. */
  void writeBy(long atMicros) {
    writeDueAt = Math.min(writeDueAt, atMicros);
  }

  /** True if a write is due and none is in flight. */
  boolean writeDue(long nowMicros) {
    return nowMicros >= writeDueAt && !writing;
  }

  /** True if this page's record may be written only after that of another page. */
  boolean awaitsOthers() {
    return !awaitedPages.isEmpty();
  }

  boolean awaits(MachinePage other) {
    return awaitedPages.contains(other);
  }

  /** Records that another page's record has become durable. */
  void onWritten(MachinePage other) {
    awaitedPages.remove(other);
  }

  /** Returns the machines that the next record contains as registered for commands. */
  Set<Machine> commandableOnceWritten() {
    Set<Machine> all = new LinkedHashSet<>(commandable);
    all.addAll(pendingCommandable);
    return all;
  }

  void startWriting() {
    writing = true;
    writeDueAt = Long.MAX_VALUE;
  }

  void stopWriting() {
    writing = false;
  }

  /** Records that a machine is durably registered for commands, if it is still in the page. */
  void markCommandable(Machine machine) {
    pendingCommandable.remove(machine);
    if (machines.contains(machine)) {
      commandable.add(machine);
      machine.commandable(true);
    }
  }
}
