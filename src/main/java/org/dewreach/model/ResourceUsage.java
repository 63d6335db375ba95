package org.dewreach.model;

import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;

/** What the tasks that are bound to a machine take of it. */
final class ResourceUsage {
  private final int[] tasksByPriority = new int[Priority.values().length];
  private double cpus;
  private double gpus;
  private double memoryGb;

  double cpus() {
    return cpus;
  }

  double gpus() {
    return gpus;
  }

  double memoryGb() {
    return memoryGb;
  }

  /** A task was bound. */
  void add(JobSpec spec) {
    tasksByPriority[spec.priority().ordinal()]++;
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** A task has left. */
  void remove(JobSpec spec) {
    tasksByPriority[spec.priority().ordinal()]--;
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  /** The last task has left: sums of decimal amounts keep a rest, and nothing is in use. */
  void clear() {
    cpus = 0;
    gpus = 0;
    memoryGb = 0;
  }

  /** True if a task that the given urgency goes before is bound. */
  boolean hasTaskBelow(Priority than) {
    for (Priority priority : Priority.values()) {
      if (tasksByPriority[priority.ordinal()] > 0 && than.above(priority)) {
        return true;
      }
    }
    return false;
  }
}
