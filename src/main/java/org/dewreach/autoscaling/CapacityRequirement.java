package org.dewreach.autoscaling;

import java.util.Map;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.wire.JobSpec;

/**
 * The capacity that a number of tasks of one size needs.
 *
 * @param spec the job that determines the size of a task and the machines on which it may run
 * @param slackMicros how long the start of the tasks can be delayed without making them late
 * @param boundByZone the number of the job's tasks that are already bound to machines, by zone
 */
record CapacityRequirement(
    JobSpec spec, int tasks, long slackMicros, Map<String, Integer> boundByZone) {

  /** Creates the requirement of a job without bound tasks. */
  CapacityRequirement(JobSpec spec, int tasks, long slackMicros) {
    this(spec, tasks, slackMicros, Map.of());
  }

  /**
   * Returns the sum of two requirements with the same group key. Its slack is the mean slack of all
   * tasks.
   */
  CapacityRequirement plus(CapacityRequirement other) {
    int sum = tasks + other.tasks;
    double mean = ((double) slackMicros * tasks + (double) other.slackMicros * other.tasks) / sum;
    return new CapacityRequirement(spec, sum, Math.round(mean), Map.of());
  }

  /** True if all tasks of the job must run in one zone. */
  boolean sharesZone() {
    return spec.sameZone() && spec.tasks() > 1;
  }

  /** True if the tasks of the job must be spread over zones. */
  boolean spreadsOverZones() {
    return spec.spreadZones() && spec.tasks() > 1;
  }

  /**
   * Returns a key that is equal for requirements that fit on the same machines and are planned as
   * one.
   */
  String groupKey() {
    String sizeKey = SortFirstFit.equivalenceKey(spec);
    // The zones that are still allowed depend on the job's own tasks.
    return sharesZone() || spreadsOverZones() ? sizeKey + "|" + spec.id() : sizeKey;
  }
}
