package org.dewreach.autoscaling;

import java.util.HashMap;
import java.util.Map;

/** How many more tasks of a job may be planned in each zone. */
final class ZoneAllowance {
  private final Map<String, Integer> left = new HashMap<>();
  private final int elsewhere;

  private ZoneAllowance(int elsewhere) {
    this.elsewhere = elsewhere;
  }

  /** As many as there are, in any zone. */
  static ZoneAllowance anyZone() {
    return new ZoneAllowance(Integer.MAX_VALUE);
  }

  /** As many as there are in this zone, and none elsewhere. */
  static ZoneAllowance only(String zone) {
    ZoneAllowance allowance = new ZoneAllowance(0);
    allowance.left.put(zone, Integer.MAX_VALUE);
    return allowance;
  }

  /** At most half of the job's tasks, rounded up, in each zone, the bound ones included. */
  static ZoneAllowance atMostHalf(ScalingPlanner.Need need) {
    int half = (need.spec().tasks() + 1) / 2;
    ZoneAllowance allowance = new ZoneAllowance(half);
    need.boundInZone()
        .forEach((zone, bound) -> allowance.left.put(zone, Math.max(0, half - bound)));
    return allowance;
  }

  /** How many more tasks may be planned in the zone. */
  int in(String zone) {
    return left.getOrDefault(zone, elsewhere);
  }

  /** Counts tasks that were planned in the zone. */
  void use(String zone, int tasks) {
    left.put(zone, in(zone) - tasks);
  }
}
