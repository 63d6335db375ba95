package org.dewreach.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.placement.FreeCapacity;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;

/**
 * A plan of one scale-out round: the machines that are already expected, and those that are to be
 * rented in addition.
 */
final class CapacityPlan {
  /**
   * A machine is overdue if its boot takes longer than twice the boot time of its type plus this
   * margin.
   */
  private static final long BOOT_OVERDUE_MARGIN_MICROS = 10_000_000;

  /** Maximum number of machines of one rental request. */
  private static final int MAX_MACHINES_PER_REQUEST = 50;

  /** A machine that is booting, requested or planned, with its unassigned capacity. */
  private record ExpectedMachine(MachinePool pool, FreeCapacity freeCapacity) {
    ExpectedMachine(MachinePool pool) {
      this(pool, FreeCapacity.of(pool.type()));
    }

    /** Assigns as many tasks as fit and as its zone allows, and returns their number. */
    int assign(JobSpec spec, int maxTasks, ZoneAllowance allowance) {
      int assigned =
          freeCapacity.allocate(spec, Math.min(maxTasks, allowance.remaining(pool.zone())));
      allowance.consume(pool.zone(), assigned);
      return assigned;
    }
  }

  private final List<ExpectedMachine> expected = new ArrayList<>();
  private final Map<MachinePool, Integer> added = new LinkedHashMap<>();

  private CapacityPlan() {}

  /** Returns a plan in which only the booting and the requested machines are expected. */
  static CapacityPlan startingWith(
      Collection<Machine> machines, List<MachinePool> requestedPools, long nowMicros) {
    CapacityPlan plan = new CapacityPlan();
    for (Machine machine : machines) {
      if (isExpectedSoon(machine, nowMicros)) {
        plan.expected.add(new ExpectedMachine(MachinePool.of(machine)));
      }
    }
    requestedPools.forEach(pool -> plan.expected.add(new ExpectedMachine(pool)));
    plan.expected.sort(
        Comparator.comparingDouble((ExpectedMachine machine) -> machine.pool.type().cpus())
            .thenComparingDouble(machine -> machine.pool.type().memoryGb())
            .reversed());
    return plan;
  }

  /** True if the machine is expected to be usable soon. An overdue machine is not. */
  private static boolean isExpectedSoon(Machine machine, long nowMicros) {
    return (machine.phase() == MachinePhase.BOOTING || machine.phase() == MachinePhase.UNCONFIRMED)
        && !machine.quarantined()
        && nowMicros - machine.knownSince()
            < 2 * machine.type().bootMicros() + BOOT_OVERDUE_MARGIN_MICROS;
  }

  /** Returns a copy with the expected machines of one zone, to try a job there. */
  CapacityPlan copyOf(String zone) {
    CapacityPlan copy = new CapacityPlan();
    for (ExpectedMachine machine : expected) {
      if (machine.pool.zone().equals(zone)) {
        copy.expected.add(new ExpectedMachine(machine.pool, machine.freeCapacity.copy()));
      }
    }
    copy.added.putAll(added);
    return copy;
  }

  /**
   * Assigns the tasks of a group to expected machines, and adds machines for the remaining tasks.
   *
   * @return the number of tasks that are not covered
   */
  int cover(RequirementGroup group, ZoneAllowance allowance, PoolSelector selector) {
    JobSpec spec = group.requirement().spec();
    int left = group.requirement().tasks();
    for (ExpectedMachine machine : expected) {
      if (left > 0 && machine.pool.permittedBy(spec)) {
        left -= machine.assign(spec, left, allowance);
      }
    }
    while (left > 0) {
      MachinePool pool = selector.cheapest(group, left, allowance);
      // One request cannot contain more machines; the next plan continues. Guards against planning
      // thousands of machines again in every round while the largest allowed job waits.
      if (pool == null || added.getOrDefault(pool, 0) >= MAX_MACHINES_PER_REQUEST) {
        break;
      }
      ExpectedMachine machine = new ExpectedMachine(pool);
      left -= machine.assign(spec, left, allowance);
      expected.add(machine);
      added.merge(pool, 1, Integer::sum);
    }
    return left;
  }

  /** Returns the zones in which machines are expected or on offer, in alphabetical order. */
  Set<String> zones(List<MachineType> catalog) {
    Set<String> zones = new TreeSet<>();
    catalog.forEach(type -> zones.addAll(type.zones()));
    expected.forEach(machine -> zones.add(machine.pool.zone()));
    return zones;
  }

  /** Returns the price of all added machines. */
  double price() {
    double sum = 0;
    for (Map.Entry<MachinePool, Integer> entry : added.entrySet()) {
      sum += entry.getKey().price() * entry.getValue();
    }
    return sum;
  }

  /** Returns the added machines, by pool. */
  List<Rental> rentals() {
    List<Rental> rentals = new ArrayList<>();
    added.forEach((pool, count) -> rentals.add(new Rental(pool, count)));
    return rentals;
  }
}
