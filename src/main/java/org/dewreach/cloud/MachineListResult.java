package org.dewreach.cloud;

import java.util.List;
import org.dewreach.wire.ListedMachine;

/** The outcome of reading a page of the machine list. */
public sealed interface MachineListResult permits MachineListResult.Page, CloudFailure {
  /**
   * A page of the list.
   *
   * @param machines the machines on the page, ordered by name
   * @param more true if more pages follow
   */
  record Page(List<ListedMachine> machines, boolean more) implements MachineListResult {}
}
