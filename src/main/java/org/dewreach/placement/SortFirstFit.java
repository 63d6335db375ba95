package org.dewreach.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.dewreach.machine.Machine;
import org.dewreach.wire.JobRequest;

/**
 * The list of machines, largest CPU capacity first, and the first one that covers a task.
 *
 * <p>Ties go to more memory, then to the name. Free CPU, memory and GPUs are checked together;
 * memory stands in for the paper's bandwidth.
 */
public final class SortFirstFit {
  private static final double EPS = 1e-9;

  /** The order of the list. */
  public static final Comparator<Machine> ORDER =
      Comparator.comparingDouble((Machine m) -> m.type().cpus())
          .thenComparingDouble(m -> m.type().memoryGb())
          .reversed()
          .thenComparing(Machine::name);

  private final List<Machine> machines = new ArrayList<>();

  public void add(Machine machine) {
    int at = Collections.binarySearch(machines, machine, ORDER);
    if (at < 0) {
      machines.add(-at - 1, machine);
    }
  }

  public void remove(Machine machine) {
    machines.remove(machine);
  }

  public List<Machine> machines() {
    return Collections.unmodifiableList(machines);
  }

  /** The first machine of the list that is allowed and covers one task of the job, or null. */
  public Machine firstFit(JobRequest spec, Predicate<Machine> allowed) {
    for (Machine machine : machines) {
      if (machine.usable() && covers(machine, spec) && allowed.test(machine)) {
        return machine;
      }
    }
    return null;
  }

  private static boolean covers(Machine machine, JobRequest spec) {
    return spec.cpus() <= machine.freeCpus() + EPS
        && spec.memoryGb() <= machine.freeMemoryGb() + EPS
        && spec.gpus() <= machine.freeGpus() + EPS;
  }

  /** True if the job's owner allows the machine. */
  public static boolean permitted(JobRequest spec, Machine machine) {
    return (spec.types() == null || spec.types().contains(machine.type().name()))
        && (spec.zone() == null || spec.zone().equals(machine.zone()))
        && (spec.spot() || !machine.spot());
  }
}
