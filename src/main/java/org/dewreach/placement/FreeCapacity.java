package org.dewreach.placement;

import org.dewreach.model.Machine;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;

/**
 * Room for tasks that is counted apart from the cluster state: of machines to come, or of machines
 * some of whose tasks are being stopped.
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

  /** What an empty machine of the type has. */
  public static FreeCapacity of(MachineType type) {
    return new FreeCapacity(type.cpus(), type.gpus(), type.memoryGb());
  }

  /** What a machine has free. */
  public static FreeCapacity free(Machine machine) {
    return new FreeCapacity(machine.freeCpus(), machine.freeGpus(), machine.freeMemoryGb());
  }

  /** A copy that changes on its own. */
  public FreeCapacity copy() {
    return new FreeCapacity(cpus, gpus, memoryGb);
  }

  /** True if there is room for one task of the job. */
  public boolean covers(JobSpec spec) {
    return ResourceAmounts.covers(cpus, spec.cpus())
        && ResourceAmounts.covers(gpus, spec.gpus())
        && ResourceAmounts.covers(memoryGb, spec.memoryGb());
  }

  /** Gives back the room of one task. */
  public void deallocate(JobSpec spec) {
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** Takes the room of one task, whether it is there or not. */
  public void allocate(JobSpec spec) {
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  /** Takes room for as many tasks as fit, at most the number given, and tells how many. */
  public int allocate(JobSpec spec, int most) {
    int count = 0;
    while (count < most && covers(spec)) {
      allocate(spec);
      count++;
    }
    return count;
  }
}
