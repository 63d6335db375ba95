package org.dewreach.autoscaling;

import java.util.HashMap;
import java.util.Map;

/** The number of tasks of a job that may still be planned in each zone. */
final class ZoneAllowance {
  private final Map<String, Integer> remaining = new HashMap<>();
  private final int remainingElsewhere;

  private ZoneAllowance(int remainingElsewhere) {
    this.remainingElsewhere = remainingElsewhere;
  }

  /** Returns an allowance without a limit in any zone. */
  static ZoneAllowance anyZone() {
    return new ZoneAllowance(Integer.MAX_VALUE);
  }

  /** Returns an allowance for any number of tasks in this zone and none elsewhere. */
  static ZoneAllowance only(String zone) {
    ZoneAllowance allowance = new ZoneAllowance(0);
    allowance.remaining.put(zone, Integer.MAX_VALUE);
    return allowance;
  }

  /**
   * Returns an allowance for at most half of the job's tasks in each zone, rounded up and including
   * the tasks that are bound there.
   */
  static ZoneAllowance atMostHalf(CapacityRequirement requirement) {
    int half = (requirement.spec().tasks() + 1) / 2;
    ZoneAllowance allowance = new ZoneAllowance(half);
    requirement
        .boundByZone()
        .forEach((zone, bound) -> allowance.remaining.put(zone, Math.max(0, half - bound)));
    return allowance;
  }

  /** Returns how many more tasks may be planned in the zone. */
  int remaining(String zone) {
    return remaining.getOrDefault(zone, remainingElsewhere);
  }

  /** Subtracts tasks that were planned in the zone. */
  void consume(String zone, int tasks) {
    remaining.put(zone, remaining(zone) - tasks);
  }
}
