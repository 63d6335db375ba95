package org.dewreach.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.dewreach.model.Machine;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.ConditionalWrite;
import org.dewreach.store.Keys;
import org.dewreach.store.Mutation;
import org.dewreach.store.Precondition;

/**
 * The durable list of the machines that a later leader has to wait for, stored in pages of many
 * machines.
 *
 * <p>A machine is registered when it has been rented, so that a later leader waits for its boot. It
 * is registered for commands before its first command is sent, so that a later leader does not
 * start a task elsewhere that may still run there. With one record for each machine, each machine
 * took three writes, and a fleet of hundreds of machines exhausted the store's write rate for most
 * of a minute. Each write of a page is conditional on the page's revision, so that a late copy of
 * an earlier write, which lacks machines, is never applied.
 */
public final class MachineRegistry {
  /**
   * How long registrations for commands are batched before a write. A machine waits this long for
   * its first command.
   */
  private static final long COMMANDABLE_DELAY_MICROS = 100_000;

  /**
   * How long other changes are batched before a write. A registration or removal that is lost only
   * makes a later leader wait longer.
   */
  private static final long OTHER_CHANGES_DELAY_MICROS = 2_000_000;

  /**
   * The share of the store's value limit that the estimated size of a page may use. The rest is
   * reserved for encoding overhead.
   */
  private static final double MAX_FILL_SHARE = 0.7;

  /** The estimated size of an entry without the names of its machine, type and zone. */
  private static final int ENTRY_OVERHEAD_BYTES = 48;

  /** The machines that share a record. */
  private static final class Page {
    final int number;
    final Set<Machine> machines = new LinkedHashSet<>();

    /** The machines that are to be registered for commands. */
    final Set<Machine> pendingCommandable = new LinkedHashSet<>();

    /** The machines that are durably registered for commands. */
    final Set<Machine> commandable = new LinkedHashSet<>();

    long revision;
    int bytes;
    long writeDueAt = Long.MAX_VALUE;
    boolean writing;

    Page(int number) {
      this.number = number;
    }

    void writeBy(long atMicros) {
      writeDueAt = Math.min(writeDueAt, atMicros);
    }
  }

  private final CommitQueue queue;
  private final int pageBytes;
  private final long wallOffsetMicros;
  private final DurabilityListener listener;
  private final Map<Integer, Page> pages = new TreeMap<>();
  private final Map<Machine, Page> pageOf = new HashMap<>();

  /**
   * Creates an empty registry.
   *
   * @param valueBytes the size limit of a value in the key-value store
   * @param wallOffsetMicros wall-clock time minus event time
   */
  public MachineRegistry(
      CommitQueue queue, int valueBytes, long wallOffsetMicros, DurabilityListener listener) {
    this.queue = queue;
    this.pageBytes = (int) (valueBytes * MAX_FILL_SHARE);
    this.wallOffsetMicros = wallOffsetMicros;
    this.listener = listener;
  }

  /**
   * Restores a page that an earlier leader stored. Its machines are restored by {@link
   * #restoreMachine}.
   */
  void restorePage(int number, long revision) {
    page(number).revision = revision;
  }

  /** Restores a machine in its page. */
  void restoreMachine(int pageNumber, Machine machine) {
    Page page = page(pageNumber);
    addToPage(page, machine);
    if (machine.commandable()) {
      page.commandable.add(machine);
    }
  }

  /** Registers a machine that was rented or found, unless it is already registered. */
  public void register(Machine machine, long nowMicros) {
    if (!pageOf.containsKey(machine)) {
      Page page = pageWithSpace(machine);
      addToPage(page, machine);
      page.writeBy(nowMicros + OTHER_CHANGES_DELAY_MICROS);
    }
  }

  /** Registers a machine for commands, which may be sent to it once the registration is durable. */
  public void registerForCommands(Machine machine, long nowMicros) {
    if (machine.commandable()) {
      return;
    }
    Page page = pageOf.get(machine);
    if (page == null) {
      page = pageWithSpace(machine);
      addToPage(page, machine);
    }
    if (!page.commandable.contains(machine) && page.pendingCommandable.add(machine)) {
      page.writeBy(nowMicros + COMMANDABLE_DELAY_MICROS);
    }
  }

  /** Removes a machine that is gone. */
  public void deregister(Machine machine, long nowMicros) {
    Page page = pageOf.remove(machine);
    if (page != null) {
      page.machines.remove(machine);
      page.pendingCommandable.remove(machine);
      page.commandable.remove(machine);
      page.bytes -= estimatedBytes(machine);
      page.writeBy(nowMicros + OTHER_CHANGES_DELAY_MICROS);
    }
  }

  /** Writes the pages that are due. */
  public void tick(long nowMicros) {
    for (Page page : pages.values()) {
      if (nowMicros >= page.writeDueAt && !page.writing) {
        write(page, nowMicros);
      }
    }
  }

  private Page page(int number) {
    return pages.computeIfAbsent(number, Page::new);
  }

  private Page pageWithSpace(Machine machine) {
    int nextNumber = 0;
    for (Page page : pages.values()) {
      if (page.bytes + estimatedBytes(machine) <= pageBytes) {
        return page;
      }
      nextNumber = Math.max(nextNumber, page.number + 1);
    }
    return page(nextNumber);
  }

  private void addToPage(Page page, Machine machine) {
    page.machines.add(machine);
    page.bytes += estimatedBytes(machine);
    pageOf.put(machine, page);
  }

  private static int estimatedBytes(Machine machine) {
    return ENTRY_OVERHEAD_BYTES
        + machine.name().length()
        + machine.type().name().length()
        + machine.zone().length();
  }

  private void write(Page page, long nowMicros) {
    Set<Machine> commandable = new LinkedHashSet<>(page.commandable);
    commandable.addAll(page.pendingCommandable);
    String key = Keys.machinePage(page.number);
    ConditionalWrite write =
        new ConditionalWrite(
            List.of(Precondition.unchanged(key, page.revision)),
            List.of(Mutation.put(key, toRecord(page, commandable).encode())),
            page.pendingCommandable.isEmpty()
                ? ConditionalWrite.Urgency.DEFERRABLE
                : ConditionalWrite.Urgency.URGENT,
            (now, outcome, revision) -> onOutcome(page, commandable, outcome, revision, now));
    page.writing = true;
    page.writeDueAt = Long.MAX_VALUE;
    if (!queue.offer(nowMicros, write)) {
      page.writing = false;
      page.writeBy(nowMicros + OTHER_CHANGES_DELAY_MICROS);
    }
  }

  private MachinePageRecord toRecord(Page page, Set<Machine> commandable) {
    List<MachinePageRecord.Entry> entries = new ArrayList<>();
    for (Machine machine : page.machines) {
      entries.add(
          new MachinePageRecord.Entry(
              machine.name(),
              machine.type().name(),
              machine.zone(),
              machine.spot(),
              machine.knownSince() + wallOffsetMicros,
              commandable.contains(machine)));
    }
    return new MachinePageRecord(entries);
  }

  private void onOutcome(
      Page page,
      Set<Machine> commandable,
      ConditionalWrite.Outcome outcome,
      long revision,
      long nowMicros) {
    page.writing = false;
    switch (outcome) {
      case WRITTEN -> {
        page.revision = revision;
        commandable.forEach(machine -> markCommandable(page, machine));
        listener.onMachinesRegistered(nowMicros);
      }
      case CONFLICT ->
          listener.onRecordConflict(
              "machine page " + page.number + " was changed by another writer", nowMicros);
      case UNKNOWN -> {
        // The term is over; the next leader reads what was applied.
      }
    }
  }

  private static void markCommandable(Page page, Machine machine) {
    page.pendingCommandable.remove(machine);
    if (page.machines.contains(machine)) {
      page.commandable.add(machine);
      machine.commandable(true);
    }
  }
}
