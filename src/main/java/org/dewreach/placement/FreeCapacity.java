package org.dewreach.placement;

import org.dewreach.model.Machine;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;

/**
 * The free capacity of a machine, tracked separately from the cluster state: for a machine that is
 * expected but not up yet, or for one where some tasks are being stopped.
 */
public final class FreeCapacity {
  private double cpus;
  private double gpus;
  private double memoryGb;

  private FreeCapacity(double cpus, double gpus, double memoryGb) {
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
  }

  /** Returns the capacity of an empty machine of the type. */
  public static FreeCapacity of(MachineType type) {
    return new FreeCapacity(type.cpus(), type.gpus(), type.memoryGb());
  }

  /** Returns the capacity that the machine has free now. */
  public static FreeCapacity free(Machine machine) {
    return new FreeCapacity(machine.freeCpus(), machine.freeGpus(), machine.freeMemoryGb());
  }

  /** Returns an independent copy. */
  public FreeCapacity copy() {
    return new FreeCapacity(cpus, gpus, memoryGb);
  }

  /** True if the free capacity is enough for one task of the job. */
  public boolean covers(JobSpec spec) {
    return ResourceAmounts.covers(cpus, spec.cpus())
        && ResourceAmounts.covers(gpus, spec.gpus())
        && ResourceAmounts.covers(memoryGb, spec.memoryGb());
  }

  /** Adds the resources of one task to the free capacity. */
  public void deallocate(JobSpec spec) {
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** Subtracts the resources of one task, even if they are not free. */
  public void allocate(JobSpec spec) {
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  /**
   * Allocates as many tasks of the job as fit, at most {@code maxTasks}, and returns their number.
   */
  public int allocate(JobSpec spec, int maxTasks) {
    int count = 0;
    while (count < maxTasks && covers(spec)) {
      allocate(spec);
      count++;
    }
    return count;
  }
}
