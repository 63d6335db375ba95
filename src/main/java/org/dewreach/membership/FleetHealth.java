package org.dewreach.membership;

import java.util.List;
import java.util.Map;
import org.dewreach.model.Machine;

/**
 * What one pass over the fleet found.
 *
 * @param byCondition the machines in each condition
 * @param overdue the machines whose heartbeat is overdue; also those that are not silent yet
 * @param reachable how many machines send heartbeats in time and take answers
 */
record FleetHealth(
    Map<MachineCondition, List<Machine>> byCondition, List<Machine> overdue, int reachable) {

  /** What is known before the first pass. */
  static final FleetHealth EMPTY = new FleetHealth(Map.of(), List.of(), 0);

  /** So many machines do not fall silent at once, unless it is us. A default of this project. */
  private static final int MIN_UNREACHABLE_FOR_PARTITION = 3;

  /** This many unreachable machines for one that is reachable show a partition. */
  private static final int UNREACHABLE_PER_REACHABLE_FOR_PARTITION = 3;

  /** So many unreachable machines are few, however many are reachable. */
  private static final int FEW_UNREACHABLE_MIN_LIMIT = 2;

  /** Of a large fleet, one unreachable machine for this many that are reachable is few. */
  private static final int REACHABLE_PER_TOLERATED_UNREACHABLE = 3;

  /** The machines in a condition. */
  List<Machine> in(MachineCondition condition) {
    return byCondition.getOrDefault(condition, List.of());
  }

  private int count(MachineCondition condition) {
    return in(condition).size();
  }

  /** How many machines are not heard in time, or do not take answers. */
  private int unreachable() {
    return overdue.size() + count(MachineCondition.MISSES_REPLIES);
  }

  /** How many machines' leases are over without a heartbeat since. */
  int lostCount() {
    return count(MachineCondition.LOST) + count(MachineCondition.LOST_TIMED_OUT);
  }

  /**
   * True if so few machines are unreachable that the fault is theirs.
   *
   * <p>When many fall silent at once it is rather us who are cut off: wait for the leases then. The
   * first of many to cross the limit are told by the others, which have been overdue for a while.
   * The lost ones count too: else, once some of a cut zone's leases are over, the rest of its
   * machines look like few and are released, a moment before the zone is back.
   */
  boolean fewUnreachable() {
    int limit =
        Math.max(FEW_UNREACHABLE_MIN_LIMIT, reachable / REACHABLE_PER_TOLERATED_UNREACHABLE);
    return unreachable() + lostCount() <= limit;
  }

  /**
   * True if nearly all are unreachable. Machines that have just come up may be heard all the same.
   */
  boolean nearlyAllUnreachable() {
    return exceedsPartitionThreshold(unreachable());
  }

  /** As {@link #nearlyAllUnreachable}, with those whose leases are over by now. */
  boolean nearlyAllUnreachableOrLost() {
    return exceedsPartitionThreshold(unreachable() + lostCount());
  }

  /** True if most of the unreachable machines are heard and only do not take answers. */
  boolean mostlyMissesReplies() {
    return count(MachineCondition.MISSES_REPLIES) > overdue.size();
  }

  private boolean exceedsPartitionThreshold(int machines) {
    return machines >= MIN_UNREACHABLE_FOR_PARTITION
        && machines >= UNREACHABLE_PER_REACHABLE_FOR_PARTITION * reachable;
  }
}
