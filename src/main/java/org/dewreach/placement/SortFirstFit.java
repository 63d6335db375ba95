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
   * <p>Work that may run on spot machines walks the list over those first, and then over the
   * ordinary ones: only these can take the work that may not. Among machines that the rule ranks
   * equal (same CPU and memory) an image that is there already goes before the name.
   */
  public Machine firstFit(JobRequest spec, Predicate<Machine> allowed) {
    if (spec.spot()) {
      Machine machine = walk(spec, allowed.and(Machine::spot));
      if (machine != null) {
        return machine;
      }
    }
    return walk(spec, allowed.and(machine -> !machine.spot()));
  }

  /**
   * As {@link #firstFit(JobRequest, Predicate)}, for work that is to start within some time. The
   * paper checks the bandwidth left to a server; here it is the rate at which images are fetched:
   * a machine whose fetches would take too long is passed over while another one can start the task
   * in time, or in two or four times that.
   */
  public Machine firstFit(JobRequest spec, Predicate<Machine> allowed, long withinMicros) {
    for (long within = withinMicros; within <= 4 * withinMicros && within > 0; within *= 2) {
      long limit = within;
      Machine machine =
          firstFit(spec, allowed.and(candidate -> candidate.fetchMicros(spec) <= limit));
      if (machine != null) {
        return machine;
      }
    }
    return firstFit(spec, allowed);
  }

  private Machine walk(JobRequest spec, Predicate<Machine> allowed) {
    Machine best = null;
    for (Machine machine : machines) {
      if (best != null && !ranksEqual(best, machine)) {
        break;
      }
      if (machine.usable() && covers(machine, spec) && allowed.test(machine)) {
        if (machine.hasImage(spec.image())) {
          return machine;
        }
        if (best == null) {
          best = machine;
        }
      }
    }
    return best;
  }

  private static boolean ranksEqual(Machine one, Machine other) {
    return one.type().cpus() == other.type().cpus()
        && one.type().memoryGb() == other.type().memoryGb();
  }

  private static boolean covers(Machine machine, JobRequest spec) {
    return spec.cpus() <= machine.freeCpus() + EPS
        && spec.memoryGb() <= machine.freeMemoryGb() + EPS
        && spec.gpus() <= machine.freeGpus() + EPS;
  }

  /** True if the job's owner allows the machine. */
  public static boolean permitted(JobRequest spec, Machine machine) {
    return permitted(spec, machine.type().name(), machine.zone(), machine.spot());
  }

  /** True if the job's owner allows machines of this type, zone and kind. */
  public static boolean permitted(JobRequest spec, String type, String zone, boolean spot) {
    return (spec.types() == null || spec.types().contains(type))
        && (spec.zone() == null || spec.zone().equals(zone))
        && (spec.spot() || !spot);
  }

  /** Tasks with the same likeness fit on the same machines. */
  public static String likeness(JobRequest spec) {
    return spec.cpus() + "|" + spec.gpus() + "|" + spec.memoryGb() + "|" + spec.types() + "|"
        + spec.zone() + "|" + spec.spot();
  }
}
