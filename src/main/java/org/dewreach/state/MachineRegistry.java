package org.dewreach.state;

import java.util.ArrayList;
import java.util.HashMap;
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
import org.dewreach.store.WriteLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

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
 *
 * <p>A page that exceeds the store's value limit, because the limit was lowered after the page was
 * written, is split: the machines that exceed it move to other pages, and the page is written
 * without them only once the records of those pages contain them. In between a machine is in two
 * records, never in none.
 */
public final class MachineRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

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

  /** The delay after which a page that the store rejected is written again. */
  private static final long REJECTED_RETRY_DELAY_MICROS = 2_000_000;

  private final CommitQueue queue;
  private final WriteLimits limits;
  private final long wallOffsetMicros;
  private final DurabilityListener listener;
  private final Map<Integer, MachinePage> pages = new TreeMap<>();
  private final Map<Machine, MachinePage> pageOf = new HashMap<>();

  /**
   * Creates an empty registry.
   *
   * @param limits the limits of the key-value store, which pages must not exceed
   * @param wallOffsetMicros wall-clock time minus event time
   */
  public MachineRegistry(
      CommitQueue queue, WriteLimits limits, long wallOffsetMicros, DurabilityListener listener) {
    this.queue = queue;
    this.limits = limits;
    this.wallOffsetMicros = wallOffsetMicros;
    this.listener = listener;
  }

  /**
   * Restores a page that an earlier leader stored. Its machines are restored by {@link
   * #restoreMachine}.
   */
  void restorePage(int number, long revision) {
    page(number).revision(revision);
  }

  /** Restores a machine in its page. */
  void restoreMachine(int pageNumber, Machine machine) {
    MachinePage page = page(pageNumber);
    if (machine.commandable()) {
      page.addCommandable(machine);
    } else {
      page.add(machine);
    }
    pageOf.put(machine, page);
  }

  /**
   * Makes writes of two pages due, because the record of the first contains machines that belong to
   * the second: first of the owning page, then of the outdated one.
   */
  void resolveOverlap(int outdatedPage, int owningPage, long nowMicros) {
    page(outdatedPage).awaitWrite(page(owningPage));
    page(outdatedPage).writeBy(nowMicros);
    page(owningPage).writeBy(nowMicros);
  }

  /** Registers a machine that was rented or found, unless it is already registered. */
  public void register(Machine machine, long nowMicros) {
    if (!pageOf.containsKey(machine)) {
      addToPage(machine).writeBy(nowMicros + OTHER_CHANGES_DELAY_MICROS);
    }
  }

  /** Registers a machine for commands, which may be sent to it once the registration is durable. */
  public void registerForCommands(Machine machine, long nowMicros) {
    if (machine.commandable()) {
      return;
    }
    MachinePage page = pageOf.get(machine);
    if (page == null) {
      page = addToPage(machine);
    }
    if (page.requestCommandable(machine)) {
      page.writeBy(nowMicros + COMMANDABLE_DELAY_MICROS);
    }
  }

  /** Removes a machine that is gone. */
  public void deregister(Machine machine, long nowMicros) {
    MachinePage page = pageOf.remove(machine);
    if (page != null) {
      page.remove(machine);
      page.writeBy(nowMicros + OTHER_CHANGES_DELAY_MICROS);
    }
  }

  /** Writes the pages that are due; splits those that are too large first. */
  public void tick(long nowMicros) {
    int maxBytes = maxPageBytes();
    List<MachinePage> oversized =
        pages.values().stream()
            .filter(page -> page.writeDue(nowMicros) && page.oversized(maxBytes))
            .toList();
    oversized.forEach(page -> split(page, nowMicros));
    for (MachinePage page : pages.values()) {
      if (page.writeDue(nowMicros) && !page.awaitsOthers()) {
        write(page, nowMicros);
      }
    }
  }

  private int maxPageBytes() {
    return (int) (limits.maxValueBytes() * MAX_FILL_SHARE);
  }

  private MachinePage page(int number) {
    return pages.computeIfAbsent(number, MachinePage::new);
  }

  /** Adds a machine to a page with space, or to a new page. */
  private MachinePage addToPage(Machine machine) {
    MachinePage page = pageWithSpace(machine, true);
    page.add(machine);
    pageOf.put(machine, page);
    return page;
  }

  private MachinePage pageWithSpace(Machine machine, boolean evenIfWriting) {
    int maxBytes = maxPageBytes();
    int nextNumber = 0;
    for (MachinePage page : pages.values()) {
      if (page.accepts(machine, maxBytes) && (evenIfWriting || !page.writing())) {
        return page;
      }
      nextNumber = Math.max(nextNumber, page.number() + 1);
    }
    return page(nextNumber);
  }

  /**
   * Moves the machines that exceed the size limit to other pages. None of these is being written,
   * so the next write of each contains the machines; none awaits another page, so no two pages
   * await each other.
   */
  private void split(MachinePage page, long nowMicros) {
    int maxBytes = maxPageBytes();
    List<Machine> surplus = page.surplus(maxBytes);
    LOG.info(
        "machine page split: page={} machines={} moved={} bytes={} max_bytes={}",
        page.number(),
        page.machines().size(),
        surplus.size(),
        page.bytes(),
        maxBytes);
    for (Machine machine : surplus) {
      MachinePage target = pageWithSpace(machine, false);
      page.moveTo(target, machine);
      pageOf.put(machine, target);
      target.writeBy(nowMicros);
    }
  }

  private void write(MachinePage page, long nowMicros) {
    Set<Machine> commandable = page.commandableOnceWritten();
    boolean awaited = pages.values().stream().anyMatch(other -> other.awaits(page));
    String key = Keys.machinePage(page.number());
    ConditionalWrite write =
        new ConditionalWrite(
            List.of(Precondition.unchanged(key, page.revision())),
            List.of(Mutation.put(key, toRecord(page, commandable).encode())),
            page.hasPendingCommandable() || awaited
                ? ConditionalWrite.Urgency.URGENT
                : ConditionalWrite.Urgency.DEFERRABLE,
            (now, outcome, revision) -> onOutcome(page, commandable, outcome, revision, now));
    page.startWriting();
    if (!queue.offer(nowMicros, write)) {
      page.stopWriting();
      page.writeBy(nowMicros + OTHER_CHANGES_DELAY_MICROS);
    }
  }

  private MachinePageRecord toRecord(MachinePage page, Set<Machine> commandable) {
    List<MachinePageRecord.Entry> entries = new ArrayList<>();
    for (Machine machine : page.machines()) {
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
      MachinePage page,
      Set<Machine> commandable,
      ConditionalWrite.Outcome outcome,
      long revision,
      long nowMicros) {
    page.stopWriting();
    switch (outcome) {
      case WRITTEN -> {
        page.revision(revision);
        commandable.forEach(page::markCommandable);
        pages.values().forEach(other -> other.onWritten(page));
        listener.onMachinesRegistered(nowMicros);
      }
      case CONFLICT ->
          listener.onRecordConflict(
              "machine page " + page.number() + " was changed by another writer", nowMicros);
      case REJECTED -> onRejected(page, nowMicros);
      case UNKNOWN -> {
        // The term is over; the next leader reads what was applied.
      }
    }
  }

  /** Writes a rejected page again: at once if it is to be split first, otherwise after a delay. */
  private void onRejected(MachinePage page, long nowMicros) {
    boolean split = page.oversized(maxPageBytes());
    if (!split) {
      LOG.error(
          "machine page rejected: page={} machines={} bytes={}",
          page.number(),
          page.machines().size(),
          page.bytes());
    }
    page.writeBy(nowMicros + (split ? 0 : REJECTED_RETRY_DELAY_MICROS));
  }
}
