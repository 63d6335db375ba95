package org.dewreach.membership;

import java.util.List;
import java.util.Map;
import org.dewreach.model.Machine;

/**
 * The result of one pass over the fleet.
 *
 * @param byCondition the machines in each condition
 * @param overdue the machines whose heartbeat is overdue, including those that are not silent yet
 * @param reachable the number of machines that send heartbeats in time and receive responses
 */
record FleetHealth(
    Map<MachineCondition, List<Machine>> byCondition, List<Machine> overdue, int reachable) {

  /** The health before the first pass. */
  static final FleetHealth EMPTY = new FleetHealth(Map.of(), List.of(), 0);

  /**
   * The smallest number of unreachable machines that indicates a partition: so many machines do not
   * fall silent at once through faults of their own.
   */
  private static final int MIN_UNREACHABLE_FOR_PARTITION = 3;

  /** The number of unreachable machines per reachable one that indicates a partition. */
  private static final int UNREACHABLE_PER_REACHABLE_FOR_PARTITION = 3;

  /** Up to this many unreachable machines are few, regardless of how many are reachable. */
  private static final int FEW_UNREACHABLE_MIN_LIMIT = 2;

  /** In a large fleet, one unreachable machine per this many reachable ones is few. */
  private static final int REACHABLE_PER_TOLERATED_UNREACHABLE = 3;

  /** Returns the machines in a condition. */
  List<Machine> in(MachineCondition condition) {
    return byCondition.getOrDefault(condition, List.of());
  }

  private int count(MachineCondition condition) {
    return in(condition).size();
  }

  /** Returns the number of machines whose heartbeat is overdue or that do not receive responses. */
  private int unreachable() {
    return overdue.size() + count(MachineCondition.MISSES_RESPONSES);
  }

  /** Returns the number of machines whose lease expired without a heartbeat since. */
  int lostCount() {
    return count(MachineCondition.LOST) + count(MachineCondition.LOST_TIMED_OUT);
  }

  /**
   * True if so few machines are unreachable that the fault is likely theirs.
   *
   * <p>If many fall silent at once, this controller is more likely partitioned, and their leases
   * have to expire first. Overdue machines count, so that the first of many to become silent is not
   * mistaken for a single failure: the others have been overdue for a while by then. Lost machines
   * count too: otherwise, once some leases of a partitioned zone have expired, the rest of its
   * machines look like few and are released just before the zone is back.
   */
  boolean fewUnreachable() {
    int limit =
        Math.max(FEW_UNREACHABLE_MIN_LIMIT, reachable / REACHABLE_PER_TOLERATED_UNREACHABLE);
    return unreachable() + lostCount() <= limit;
  }

  /**
   * True if nearly all machines are unreachable. Machines that have just come up may still be
   * reachable.
   */
  boolean nearlyAllUnreachable() {
    return exceedsPartitionThreshold(unreachable());
  }

  /** As {@link #nearlyAllUnreachable}, including machines whose lease has expired by now. */
  boolean nearlyAllUnreachableOrLost() {
    return exceedsPartitionThreshold(unreachable() + lostCount());
  }

  /** True if most of the unreachable machines send heartbeats and only do not receive responses. */
  boolean mostlyMissesResponses() {
    return count(MachineCondition.MISSES_RESPONSES) > overdue.size();
  }

  private boolean exceedsPartitionThreshold(int machines) {
    return machines >= MIN_UNREACHABLE_FOR_PARTITION
        && machines >= UNREACHABLE_PER_REACHABLE_FOR_PARTITION * reachable;
  }
}
