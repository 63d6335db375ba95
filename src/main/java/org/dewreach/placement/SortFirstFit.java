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

  /**
   * The first machine of the list that is allowed and covers one task of the job, or null.
   *
   * <p>Among machines that the rule ranks equal (same CPU and memory) the name decides only after
   * two things that the paper's machines did not have: work that may run on spot machines leaves
   * the ordinary ones to work that may not, and an image that is there already is not fetched.
   */
  public Machine firstFit(JobRequest spec, Predicate<Machine> allowed) {
    Machine best = null;
    int bestMerit = -1;
    for (Machine machine : machines) {
      if (best != null && !ranksEqual(best, machine)) {
        break;
      }
      if (machine.usable() && covers(machine, spec) && allowed.test(machine)) {
        int merit = merit(machine, spec);
        if (merit > bestMerit) {
          best = machine;
          bestMerit = merit;
        }
      }
    }
    return best;
  }

  private static boolean ranksEqual(Machine one, Machine other) {
    return one.type().cpus() == other.type().cpus()
        && one.type().memoryGb() == other.type().memoryGb();
  }

  private static int merit(Machine machine, JobRequest spec) {
    return (machine.spot() ? 2 : 0) + (machine.hasImage(spec.image()) ? 1 : 0);
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
