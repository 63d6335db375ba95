package org.dewreach.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dewreach.cloud.MachineListResult;
import org.dewreach.wire.ListedMachine;

/**
 * The range of machine names that one page of the cloud's machine list covers. Pages are ordered by
 * name, so a machine whose name is in the range but not on the page was not listed at the time that
 * the page describes, whatever the pages before and after it contain.
 *
 * @param after the exclusive start of the range, or null if it starts with the first name
 * @param last the inclusive end of the range, or null if it is unbounded
 * @param names the names of the machines on the page
 */
record ListedRange(String after, String last, Set<String> names) {

  /** Returns the range covered by a page that was requested with the given name as its start. */
  static ListedRange of(String after, MachineListResult.Page page) {
    List<ListedMachine> machines = page.machines();
    Set<String> names = new HashSet<>();
    machines.forEach(machine -> names.add(machine.name()));
    if (!page.more()) {
      return new ListedRange(after, null, names);
    }
    // An empty page that announces further pages covers nothing.
    String last = machines.isEmpty() ? "" : machines.get(machines.size() - 1).name();
    return new ListedRange(after, last, names);
  }

  /** True if the machine's name is in the range but not on the page: it was not listed then. */
  boolean omits(String machine) {
    boolean afterStart = after == null || machine.compareTo(after) > 0;
    boolean pastEnd = last != null && machine.compareTo(last) > 0;
    return afterStart && !pastEnd && !names.contains(machine);
  }
}
