package org.dewreach.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import org.dewreach.wire.Codec;

/**
 * The durable list of machines that a later leader has to wait for, many to a record.
 *
 * <p>A machine is noted when it was rented, so that its boot is waited for, and marked before its
 * first command, so that nothing is started again that may run there. One record for each machine
 * took three writes for each, and a fleet of hundreds used up the state service's rate for most of
 * a minute. Each record is conditional on its own revision, so a late copy of an earlier form,
 * which lacks machines, is never applied.
 */
public final class MachineRegistry {
  /**
   * Marks gathered before a write: a machine waits this long for its first command. A default of
   * this project.
   */
  private static final long MARKS_INTERVAL_MICROS = 100_000;

  /**
   * Notes and removals may wait; a note that is lost costs a wait, a removal too. A default of this
   * project.
   */
  private static final long OTHERS_INTERVAL_MICROS = 2_000_000;

  /** More of the value's limit than this is not used, whatever the coding adds. */
  private static final double MAX_FILL_SHARE = 0.7;

  /** What an entry takes beside its texts. */
  private static final int ENTRY_BYTES = 48;

  /** Some machines, sharing a record. */
  private static final class Page {
    final int number;
    final Set<Machine> machines = new LinkedHashSet<>();
    final Set<Machine> toMark = new LinkedHashSet<>();
    final Set<Machine> marked = new LinkedHashSet<>();
    long revision;
    int bytes;
    long dueAt = Long.MAX_VALUE;
    boolean writing;

    Page(int number) {
      this.number = number;
    }

    void due(long atMicros) {
      dueAt = Math.min(dueAt, atMicros);
    }
  }

  private final CommitQueue queue;
  private final int pageBytes;
  private final long wallOffsetMicros;
  private final JobRecordWriter.Listener listener;
  private final Map<Integer, Page> pages = new TreeMap<>();
  private final Map<Machine, Page> pageOf = new HashMap<>();

  public MachineRegistry(
      CommitQueue queue, int valueBytes, long wallOffsetMicros, JobRecordWriter.Listener listener) {
    this.queue = queue;
    this.pageBytes = (int) (valueBytes * MAX_FILL_SHARE);
    this.wallOffsetMicros = wallOffsetMicros;
    this.listener = listener;
  }

  /** Takes a page that an earlier leader left; its machines follow by {@link #loaded}. */
  void loadedPage(int number, long revision) {
    page(number).revision = revision;
  }

  void loaded(int number, Machine machine) {
    Page page = page(number);
    put(page, machine);
    if (machine.recorded()) {
      page.marked.add(machine);
    }
  }

  /** A machine was rented, or found. */
  public void note(Machine machine, long nowMicros) {
    if (!pageOf.containsKey(machine)) {
      Page page = pageWithSpace(machine);
      put(page, machine);
      page.due(nowMicros + OTHERS_INTERVAL_MICROS);
    }
  }

  /** A machine is to be given commands, for which it has to be marked first. */
  public void mark(Machine machine, long nowMicros) {
    if (machine.recorded()) {
      return;
    }
    Page page = pageOf.get(machine);
    if (page == null) {
      page = pageWithSpace(machine);
      put(page, machine);
    }
    if (!page.marked.contains(machine) && page.toMark.add(machine)) {
      page.due(nowMicros + MARKS_INTERVAL_MICROS);
    }
  }

  /** A machine is gone. */
  public void forget(Machine machine, long nowMicros) {
    Page page = pageOf.remove(machine);
    if (page != null) {
      page.machines.remove(machine);
      page.toMark.remove(machine);
      page.marked.remove(machine);
      page.bytes -= bytes(machine);
      page.due(nowMicros + OTHERS_INTERVAL_MICROS);
    }
  }

  public void tick(long nowMicros) {
    for (Page page : pages.values()) {
      if (nowMicros >= page.dueAt && !page.writing) {
        write(page, nowMicros);
      }
    }
  }

  private Page page(int number) {
    return pages.computeIfAbsent(number, Page::new);
  }

  private Page pageWithSpace(Machine machine) {
    int number = 0;
    for (Page page : pages.values()) {
      if (page.bytes + bytes(machine) <= pageBytes) {
        return page;
      }
      number = Math.max(number, page.number + 1);
    }
    return page(number);
  }

  private void put(Page page, Machine machine) {
    page.machines.add(machine);
    page.bytes += bytes(machine);
    pageOf.put(machine, page);
  }

  private static int bytes(Machine machine) {
    return ENTRY_BYTES
        + machine.name().length()
        + machine.type().name().length()
        + machine.zone().length();
  }

  private void write(Page page, long nowMicros) {
    Set<Machine> marks = new LinkedHashSet<>(page.marked);
    marks.addAll(page.toMark);
    ObjectNode value = Codec.map();
    ObjectNode list = value.putObject("machines");
    for (Machine machine : page.machines) {
      ArrayNode entry = list.putArray(machine.name());
      entry.add(machine.type().name()).add(machine.zone()).add(machine.spot());
      entry.add(machine.knownSince() + wallOffsetMicros).add(marks.contains(machine));
    }
    boolean urgent = !page.toMark.isEmpty();
    page.writing = true;
    page.dueAt = Long.MAX_VALUE;
    boolean taken =
        queue.add(
            nowMicros,
            new ConditionalWrite(
                List.of(new Precondition(Keys.machinePage(page.number), page.revision)),
                List.of(new Mutation(Keys.machinePage(page.number), value)),
                urgent,
                (now, outcome, revision) -> written(page, marks, outcome, revision, now)));
    if (!taken) {
      page.writing = false;
      page.due(nowMicros + OTHERS_INTERVAL_MICROS);
    }
  }

  private void written(
      Page page,
      Set<Machine> marks,
      ConditionalWrite.Outcome outcome,
      long revision,
      long nowMicros) {
    page.writing = false;
    switch (outcome) {
      case WRITTEN -> {
        page.revision = revision;
        for (Machine machine : marks) {
          page.toMark.remove(machine);
          if (page.machines.contains(machine)) {
            page.marked.add(machine);
            machine.recorded(true);
          }
        }
        listener.onMarked(nowMicros);
      }
      case CONFLICT -> listener.onBroken("the register of machines changed by somebody", nowMicros);
      case UNKNOWN -> {
        // the term is over
      }
    }
  }

  /** A machine as a page has it. */
  record Entry(
      String name, String type, String zone, boolean spot, long sinceWallMicros, boolean marked) {}

  static List<Entry> read(JsonNode data) {
    List<Entry> entries = new ArrayList<>();
    for (Map.Entry<String, JsonNode> field : data.path("machines").properties()) {
      JsonNode entry = field.getValue();
      entries.add(
          new Entry(
              field.getKey(),
              entry.path(0).asText(),
              entry.path(1).asText(),
              entry.path(2).asBoolean(),
              entry.path(3).asLong(),
              // What cannot be read may have been given commands.
              entry.path(4).asBoolean(true)));
    }
    return entries;
  }
}
