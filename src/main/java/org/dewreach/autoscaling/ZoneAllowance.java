package org.dewreach.autoscaling;

import java.util.HashMap;
import java.util.Map;

/** How many more tasks of a job may be planned in each zone. */
final class ZoneAllowance {
  private final Map<String, Integer> remaining = new HashMap<>();
  private final int remainingElsewhere;

  private ZoneAllowance(int remainingElsewhere) {
    this.remainingElsewhere = remainingElsewhere;
  }

  /** No limit in any zone. */
  static ZoneAllowance anyZone() {
    return new ZoneAllowance(Integer.MAX_VALUE);
  }

  /** No limit in this zone, and no tasks elsewhere. */
  static ZoneAllowance only(String zone) {
    ZoneAllowance allowance = new ZoneAllowance(0);
    allowance.remaining.put(zone, Integer.MAX_VALUE);
    return allowance;
  }

  /** At most half of the job's tasks, rounded up, in each zone, the bound ones included. */
  static ZoneAllowance atMostHalf(CapacityRequirement requirement) {
    int half = (requirement.spec().tasks() + 1) / 2;
    ZoneAllowance allowance = new ZoneAllowance(half);
    requirement
        .boundByZone()
        .forEach((zone, bound) -> allowance.remaining.put(zone, Math.max(0, half - bound)));
    return allowance;
  }

  /** How many more tasks may be planned in the zone. */
  int remaining(String zone) {
    return remaining.getOrDefault(zone, remainingElsewhere);
  }

  /** Counts tasks that were planned in the zone. */
  void consume(String zone, int tasks) {
    remaining.put(zone, remaining(zone) - tasks);
  }
}
