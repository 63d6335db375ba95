package org.dewreach.cloud;

import java.util.List;
import org.dewreach.wire.ListedMachine;

/** Outcome of reading a page of the machine list. */
public sealed interface MachineListResult permits MachineListResult.Page, CloudFailure {
  /**
   * A page of the list.
   *
   * @param machines its machines, in the order of their names
   * @param more true if further pages follow
   */
  record Page(List<ListedMachine> machines, boolean more) implements MachineListResult {}
}
