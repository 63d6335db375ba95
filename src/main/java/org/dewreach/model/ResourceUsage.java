package org.dewreach.model;

import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;

/** The resources of a machine that are allocated to its bound tasks. */
final class ResourceUsage {
  private final int[] tasksByPriority = new int[Priority.values().length];
  private double cpus;
  private double gpus;
  private double memoryGb;

  /** Returns the number of allocated CPUs. */
  double cpus() {
    return cpus;
  }

  /** Returns the number of allocated GPUs. */
  double gpus() {
    return gpus;
  }

  /** Returns the allocated memory in GB. */
  double memoryGb() {
    return memoryGb;
  }

  /** Adds the resources of a task that was bound. */
  void add(JobSpec spec) {
    tasksByPriority[spec.priority().ordinal()]++;
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** Subtracts the resources of a task that was unbound. */
  void remove(JobSpec spec) {
    tasksByPriority[spec.priority().ordinal()]--;
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  /**
   * Sets all amounts to 0 after the last task was unbound, because floating-point sums may leave a
   * remainder.
   */
  void clear() {
    cpus = 0;
    gpus = 0;
    memoryGb = 0;
  }

  /** True if a task of a lower priority is bound. */
  boolean hasTaskOfLowerPriority(Priority priority) {
    for (Priority other : Priority.values()) {
      if (tasksByPriority[other.ordinal()] > 0 && priority.outranks(other)) {
        return true;
      }
    }
    return false;
  }
}
