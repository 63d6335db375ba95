package org.dewreach.autoscaling;

import java.util.Map;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.wire.JobSpec;

/**
 * Capacity for a number of tasks of one size.
 *
 * @param spec the job that gives the size of a task and where it may run
 * @param slackMicros how long the tasks' start can wait without making them late
 * @param boundByZone how many of the job's tasks are bound to machines already, by zone
 */
record CapacityRequirement(
    JobSpec spec, int tasks, long slackMicros, Map<String, Integer> boundByZone) {

  /** The requirement of a job without bound tasks. */
  CapacityRequirement(JobSpec spec, int tasks, long slackMicros) {
    this(spec, tasks, slackMicros, Map.of());
  }

  /** The sum of two requirements with the same group key. */
  CapacityRequirement plus(CapacityRequirement other) {
    int sum = tasks + other.tasks;
    double mean = ((double) slackMicros * tasks + (double) other.slackMicros * other.tasks) / sum;
    return new CapacityRequirement(spec, sum, Math.round(mean), Map.of());
  }

  /** True if all of the job's tasks have to run in one zone. */
  boolean sharesZone() {
    return spec.sameZone() && spec.tasks() > 1;
  }

  /** True if the job's tasks have to be spread over zones. */
  boolean spreadsOverZones() {
    return spec.spreadZones() && spec.tasks() > 1;
  }

  /** Requirements with the same key fit on the same machines and are planned as one. */
  String groupKey() {
    String sizeKey = SortFirstFit.equivalenceKey(spec);
    // Which zones are left depends on the job's own tasks.
    return sharesZone() || spreadsOverZones() ? sizeKey + "|" + spec.id() : sizeKey;
  }
}
