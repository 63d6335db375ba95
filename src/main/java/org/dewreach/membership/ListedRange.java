package org.dewreach.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dewreach.cloud.MachineListResult;
import org.dewreach.wire.ListedMachine;

/**
 * The part of the name order that one page of the cloud's machine list covers. Pages come in the
 * order of names, so a machine within the range that the page lacks was not listed at the time that
 * the page describes, whatever became of the pages before and after it.
 *
 * @param after the name after which the range begins, or null if it begins with the first name
 * @param last the last name of the range, or null if it has no end
 * @param names the machines that are listed in it
 */
record ListedRange(String after, String last, Set<String> names) {

  /** The range of a page that was requested with the given name as its start. */
  static ListedRange of(String after, MachineListResult.Page page) {
    List<ListedMachine> machines = page.machines();
    Set<String> names = new HashSet<>();
    machines.forEach(machine -> names.add(machine.name()));
    if (!page.more()) {
      return new ListedRange(after, null, names);
    }
    // An empty page that announces further ones covers nothing.
    String last = machines.isEmpty() ? "" : machines.get(machines.size() - 1).name();
    return new ListedRange(after, last, names);
  }

  /** True if the machine would be on the page had it been listed then. */
  boolean omits(String machine) {
    boolean begun = after == null || machine.compareTo(after) > 0;
    boolean ended = last != null && machine.compareTo(last) > 0;
    return begun && !ended && !names.contains(machine);
  }
}
