package org.dewreach.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.dewreach.model.Machine;
import org.dewreach.wire.JobSpec;

/**
 * The machine list of the SortFirstFit algorithm (Zhou et al., GLOBECOM 2017): machines are sorted
 * by CPU capacity, largest first, and a task goes to the first machine that covers it.
 *
 * <p>Machines with equal CPU capacity are sorted by memory, largest first, then by name. Free CPU,
 * memory and GPUs are checked together; memory replaces the bandwidth that the paper checks.
 */
public final class SortFirstFit {
  /**
   * The largest multiple of the requested limit on fetch time that is tried before the limit is
   * dropped.
   */
  private static final int MAX_FETCH_LIMIT_FACTOR = 4;

  /** The order of the list. */
  public static final Comparator<Machine> MACHINE_ORDER =
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
    int at = Collections.binarySearch(machines, machine, MACHINE_ORDER);
    if (at < 0) {
      machines.add(-at - 1, machine);
      indexesStale = true;
    }
  }

  /** Removes a machine, if it is in the list. */
  public void remove(Machine machine) {
    int at = Collections.binarySearch(machines, machine, MACHINE_ORDER);
    if (at >= 0) {
      machines.remove(at);
      indexesStale = true;
    }
  }

  /**
   * Marks the indexes as stale, so that the free capacity of all machines is read again before the
   * next search.
   *
   * <p>Machines may become schedulable without any notification to this list, so a caller that is
   * about to place tasks calls this first. Otherwise the indexes reflect only the changes reported
   * through {@link #updateCapacity}.
   */
  public void invalidateIndex() {
    indexesStale = true;
  }

  /**
   * Updates the index after a task was bound to the machine or unbound from it, or after the
   * machine was uncordoned.
   */
  public void updateCapacity(Machine machine) {
    int at = indexesStale ? -1 : Collections.binarySearch(machines, machine, MACHINE_ORDER);
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

  /** Returns an unmodifiable view of the list, in its order. */
  public List<Machine> machines() {
    return Collections.unmodifiableList(machines);
  }

  /**
   * Returns the first machine of the list that is allowed and covers one task of the job, or null
   * if there is none.
   *
   * <p>For tasks that may run on spot machines, those are searched first and on-demand machines
   * second, because only on-demand machines can run the tasks that may not use spot ones. Among
   * machines with the same CPU and memory capacity, one that already has the image is preferred.
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
   * Like {@link #firstFit(JobSpec, Predicate)}, for tasks that are to start within some time. Where
   * the paper checks the bandwidth left on a server, this checks the time that fetching images
   * takes: a machine whose fetches would take longer than the limit is skipped as long as another
   * machine can start the task within the limit, or within two or four times the limit. If none
   * can, the first machine that fits is returned.
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

  /** Searches the list in its order; the index only skips machines that cannot cover the task. */
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

  /** True if the free capacity of the machine is enough for one task of the job. */
  public static boolean covers(Machine machine, JobSpec spec) {
    return ResourceAmounts.covers(machine.freeCpus(), spec.cpus())
        && ResourceAmounts.covers(machine.freeMemoryGb(), spec.memoryGb())
        && ResourceAmounts.covers(machine.freeGpus(), spec.gpus());
  }

  /** True if the job's constraints on type, zone and spot allow the machine. */
  public static boolean permitted(JobSpec spec, Machine machine) {
    return permitted(spec, machine.type().name(), machine.zone(), machine.spot());
  }

  /** True if the job's constraints allow machines of this type and zone, spot or on-demand. */
  public static boolean permitted(JobSpec spec, String type, String zone, boolean spot) {
    return (spec.types() == null || spec.types().contains(type))
        && (spec.zone() == null || spec.zone().equals(zone))
        && (spec.spot() || !spot);
  }

  /** Returns a key that is equal for tasks that fit on the same machines. */
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
