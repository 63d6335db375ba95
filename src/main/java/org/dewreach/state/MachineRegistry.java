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
 * The durable list of machines that a later leader has to wait for, many to a record.
 *
 * <p>A machine is registered when it was rented, so that its boot is waited for, and registered for
 * commands before its first command, so that nothing is started again that may run there. One
 * record for each machine took three writes for each, and a fleet of hundreds used up the store's
 * write rate for most of a minute. Each page is conditional on its own revision, so a late copy of
 * an earlier form, which lacks machines, is never applied.
 */
public final class MachineRegistry {
  /**
   * Registrations for commands are gathered this long before a write: a machine waits that long for
   * its first command. A default of this project.
   */
  private static final long COMMANDABLE_DELAY_MICROS = 100_000;

  /**
   * Other changes may wait; a registration or removal that is lost costs a later leader some
   * waiting. A default of this project.
   */
  private static final long OTHER_CHANGES_DELAY_MICROS = 2_000_000;

  /** More of the value's limit than this is not used, whatever the coding adds. */
  private static final double MAX_FILL_SHARE = 0.7;

  /** What an entry takes beside its texts. */
  private static final int ENTRY_BYTES = 48;

  /** Machines that share a record. */
  private static final class Page {
    final int number;
    final Set<Machine> machines = new LinkedHashSet<>();

    /** Those that are to be registered for commands. */
    final Set<Machine> awaitingCommands = new LinkedHashSet<>();

    /** Those that are durably registered for commands. */
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
   * An empty registry.
   *
   * @param valueBytes the largest value that the key-value store takes
   * @param wallOffsetMicros time of day minus event time
   */
  public MachineRegistry(
      CommitQueue queue, int valueBytes, long wallOffsetMicros, DurabilityListener listener) {
    this.queue = queue;
    this.pageBytes = (int) (valueBytes * MAX_FILL_SHARE);
    this.wallOffsetMicros = wallOffsetMicros;
    this.listener = listener;
  }

  /** Restores a page of an earlier leader; its machines follow by {@link #restoreMachine}. */
  void restorePage(int number, long revision) {
    page(number).revision = revision;
  }

  /** Restores a machine on its page. */
  void restoreMachine(int pageNumber, Machine machine) {
    Page page = page(pageNumber);
    addToPage(page, machine);
    if (machine.commandable()) {
      page.commandable.add(machine);
    }
  }

  /** Registers a machine that was rented or found, unless it is registered. */
  public void register(Machine machine, long nowMicros) {
    if (!pageOf.containsKey(machine)) {
      Page page = pageWithSpace(machine);
      addToPage(page, machine);
      page.writeBy(nowMicros + OTHER_CHANGES_DELAY_MICROS);
    }
  }

  /** Registers a machine for commands, which it may be given once that is durable. */
  public void registerForCommands(Machine machine, long nowMicros) {
    if (machine.commandable()) {
      return;
    }
    Page page = pageOf.get(machine);
    if (page == null) {
      page = pageWithSpace(machine);
      addToPage(page, machine);
    }
    if (!page.commandable.contains(machine) && page.awaitingCommands.add(machine)) {
      page.writeBy(nowMicros + COMMANDABLE_DELAY_MICROS);
    }
  }

  /** Removes a machine that is gone. */
  public void deregister(Machine machine, long nowMicros) {
    Page page = pageOf.remove(machine);
    if (page != null) {
      page.machines.remove(machine);
      page.awaitingCommands.remove(machine);
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
    return ENTRY_BYTES
        + machine.name().length()
        + machine.type().name().length()
        + machine.zone().length();
  }

  private void write(Page page, long nowMicros) {
    Set<Machine> commandable = new LinkedHashSet<>(page.commandable);
    commandable.addAll(page.awaitingCommands);
    String key = Keys.machinePage(page.number);
    ConditionalWrite write =
        new ConditionalWrite(
            List.of(Precondition.unchanged(key, page.revision)),
            List.of(Mutation.put(key, toRecord(page, commandable).encode())),
            page.awaitingCommands.isEmpty()
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
              "machine page " + page.number + " was changed by another", nowMicros);
      case UNKNOWN -> {
        // the term is over: the next leader reads what was applied
      }
    }
  }

  private static void markCommandable(Page page, Machine machine) {
    page.awaitingCommands.remove(machine);
    if (page.machines.contains(machine)) {
      page.commandable.add(machine);
      machine.commandable(true);
    }
  }
}
