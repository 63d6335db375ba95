package org.dewreach.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.dewreach.model.Machine;
import org.dewreach.wire.JobSpec;

/**
 * The list of machines, largest CPU capacity first, and the first one that covers a task.
 *
 * <p>Ties go to more memory, then to the name. Free CPU, memory and GPUs are checked together;
 * memory stands in for the paper's bandwidth.
 */
public final class SortFirstFit {
  /** A start is looked for within at most this many times the time given. */
  private static final int MAX_FETCH_LIMIT_FACTOR = 4;

  /** The order of the list. */
  public static final Comparator<Machine> ORDER =
      Comparator.comparingDouble((Machine m) -> m.type().cpus())
          .thenComparingDouble(m -> m.type().memoryGb())
          .reversed()
          .thenComparing(Machine::name);

  private final List<Machine> machines = new ArrayList<>();
  private final FreeCapacityIndex spotIndex = new FreeCapacityIndex();
  private final FreeCapacityIndex onDemandIndex = new FreeCapacityIndex();
  private boolean indexesStale = true;

  /** Adds a machine, unless it is in the list already. */
  public void add(Machine machine) {
    int at = Collections.binarySearch(machines, machine, ORDER);
    if (at < 0) {
      machines.add(-at - 1, machine);
      indexesStale = true;
    }
  }

  /** Removes a machine, if it is in the list. */
  public void remove(Machine machine) {
    int at = Collections.binarySearch(machines, machine, ORDER);
    if (at >= 0) {
      machines.remove(at);
      indexesStale = true;
    }
  }

  /**
   * Has the free capacity of all machines read again before the next walk.
   *
   * <p>Machines may have become schedulable in ways that the list is not told of, so whoever is
   * about to place tasks calls this first. Until then only what {@link #updateCapacity} tells is
   * known.
   */
  public void invalidateIndex() {
    indexesStale = true;
  }

  /** A task was bound to the machine or unbound from it, or the machine was uncordoned. */
  public void updateCapacity(Machine machine) {
    int at = indexesStale ? -1 : Collections.binarySearch(machines, machine, ORDER);
    if (at < 0) {
      return;
    }
    if (machine.schedulable()) {
      indexFor(machine).set(at, machine.freeCpus(), machine.freeMemoryGb(), machine.freeGpus());
    } else {
      indexFor(machine).remove(at);
    }
  }

  private FreeCapacityIndex indexFor(Machine machine) {
    return machine.spot() ? spotIndex : onDemandIndex;
  }

  private void rebuildIndexes() {
    indexesStale = false;
    spotIndex.reset(machines.size());
    onDemandIndex.reset(machines.size());
    for (int i = 0; i < machines.size(); i++) {
      Machine machine = machines.get(i);
      if (machine.schedulable()) {
        indexFor(machine)
            .setLeaf(i, machine.freeCpus(), machine.freeMemoryGb(), machine.freeGpus());
      }
    }
    spotIndex.build();
    onDemandIndex.build();
  }

  /** The list, in its order; not to be changed. */
  public List<Machine> machines() {
    return Collections.unmodifiableList(machines);
  }

  /**
   * The first machine of the list that is allowed and covers one task of the job, or null.
   *
   * <p>Work that may run on spot machines walks the list over those first, and then over the
   * on-demand ones: only these can take the work that may not. Among machines of equal rank (same
   * CPU and memory) one that has the image already goes before the others.
   */
  public Machine firstFit(JobSpec spec, Predicate<Machine> allowed) {
    if (spec.spot()) {
      Machine machine = search(spec, spotIndex, allowed);
      if (machine != null) {
        return machine;
      }
    }
    return search(spec, onDemandIndex, allowed);
  }

  /**
   * As {@link #firstFit(JobSpec, Predicate)}, for work that is to start within some time. The paper
   * checks the bandwidth left to a server; here it is the rate at which images are fetched: a
   * machine whose fetches would take too long is passed over while another one can start the task
   * in time, or in two or four times that.
   */
  public Machine firstFit(JobSpec spec, Predicate<Machine> allowed, long withinMicros) {
    for (long within = withinMicros;
        within <= MAX_FETCH_LIMIT_FACTOR * withinMicros && within > 0;
        within *= 2) {
      long limit = within;
      Machine machine =
          firstFit(spec, allowed.and(candidate -> candidate.fetchMicros(spec) <= limit));
      if (machine != null) {
        return machine;
      }
    }
    return firstFit(spec, allowed);
  }

  /** The walk along the list; the index only leaves out machines that cannot cover the task. */
  private Machine search(JobSpec spec, FreeCapacityIndex index, Predicate<Machine> allowed) {
    if (indexesStale) {
      rebuildIndexes();
    }
    Machine best = null;
    for (int at = next(index, 0, spec); at >= 0; at = next(index, at + 1, spec)) {
      Machine machine = machines.get(at);
      if (best != null && !sameSize(best, machine)) {
        break;
      }
      if (machine.schedulable() && covers(machine, spec) && allowed.test(machine)) {
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

  private static int next(FreeCapacityIndex index, int from, JobSpec spec) {
    return index.next(from, spec.cpus(), spec.memoryGb(), spec.gpus());
  }

  private static boolean sameSize(Machine one, Machine other) {
    return one.type().cpus() == other.type().cpus()
        && one.type().memoryGb() == other.type().memoryGb();
  }

  /** True if the machine has room for one task of the job. */
  public static boolean covers(Machine machine, JobSpec spec) {
    return ResourceAmounts.covers(machine.freeCpus(), spec.cpus())
        && ResourceAmounts.covers(machine.freeMemoryGb(), spec.memoryGb())
        && ResourceAmounts.covers(machine.freeGpus(), spec.gpus());
  }

  /** True if the job's owner allows the machine. */
  public static boolean permitted(JobSpec spec, Machine machine) {
    return permitted(spec, machine.type().name(), machine.zone(), machine.spot());
  }

  /** True if the job's owner allows machines of this type, zone and kind. */
  public static boolean permitted(JobSpec spec, String type, String zone, boolean spot) {
    return (spec.types() == null || spec.types().contains(type))
        && (spec.zone() == null || spec.zone().equals(zone))
        && (spec.spot() || !spot);
  }

  /** Tasks with the same key fit on the same machines. */
  public static String equivalenceKey(JobSpec spec) {
    return spec.cpus()
        + "|"
        + spec.gpus()
        + "|"
        + spec.memoryGb()
        + "|"
        + spec.types()
        + "|"
        + spec.zone()
        + "|"
        + spec.spot();
  }
}
