package org.dewreach.model;

import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;

/** What the tasks that are bound to a machine take of it. */
final class ResourceUsage {
  private final int[] tasksByPriority = new int[Priority.values().length];
  private double cpus;
  private double gpus;
  private double memoryGb;

  /** CPUs in use. */
  double cpus() {
    return cpus;
  }

  /** GPUs in use. */
  double gpus() {
    return gpus;
  }

  /** Memory in use. */
  double memoryGb() {
    return memoryGb;
  }

  /** Adds a task that was bound. */
  void add(JobSpec spec) {
    tasksByPriority[spec.priority().ordinal()]++;
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** Subtracts a task that was unbound. */
  void remove(JobSpec spec) {
    tasksByPriority[spec.priority().ordinal()]--;
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  /** Sets all amounts to 0 after the last task has left: sums of fractions may keep a remainder. */
  void clear() {
    cpus = 0;
    gpus = 0;
    memoryGb = 0;
  }

  /** True if a task of a lower priority is bound. */
  boolean hasTaskOfLowerPriority(Priority bound) {
    for (Priority priority : Priority.values()) {
      if (tasksByPriority[priority.ordinal()] > 0 && bound.above(priority)) {
        return true;
      }
    }
    return false;
  }
}
