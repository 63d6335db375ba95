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

/** The machines that one plan counts on, and those that it adds. */
final class CapacityPlan {
  /** A machine that takes longer than twice its boot time and this is overdue. */
  private static final long BOOT_OVERDUE_MARGIN_MICROS = 10_000_000;

  /** The most machines that one rental request may ask for. */
  private static final int MAX_MACHINES_PER_REQUEST = 50;

  /** A machine that is booting, requested or planned, with the capacity that is left on it. */
  private record ExpectedMachine(MachinePool pool, FreeCapacity freeCapacity) {
    ExpectedMachine(MachinePool pool) {
      this(pool, FreeCapacity.of(pool.type()));
    }

    /** Takes capacity for as many tasks as fit and may be in its zone, and tells how many. */
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

  /** A plan that counts on the machines that boot and on those that were requested. */
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

  /** True for a machine that will soon be of use. One long overdue is not counted on. */
  private static boolean isExpectedSoon(Machine machine, long nowMicros) {
    return (machine.phase() == MachinePhase.BOOTING || machine.phase() == MachinePhase.UNCONFIRMED)
        && !machine.quarantined()
        && nowMicros - machine.knownSince()
            < 2 * machine.type().bootMicros() + BOOT_OVERDUE_MARGIN_MICROS;
  }

  /** A copy of what concerns one zone, to try a job there. */
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
   * Covers the tasks of a group by expected machines, and adds machines for the others.
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
      // One request has no room for more: the next plan goes on. Guards against planning for
      // thousands of machines, again and again, when the largest allowed job waits.
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

  /** The zones in which machines are expected or on offer, in alphabetical order. */
  Set<String> zones(List<MachineType> catalog) {
    Set<String> zones = new TreeSet<>();
    catalog.forEach(type -> zones.addAll(type.zones()));
    expected.forEach(machine -> zones.add(machine.pool.zone()));
    return zones;
  }

  /** The price of all added machines. */
  double price() {
    double sum = 0;
    for (Map.Entry<MachinePool, Integer> entry : added.entrySet()) {
      sum += entry.getKey().price() * entry.getValue();
    }
    return sum;
  }

  /** The added machines, by pool. */
  List<Rental> rentals() {
    List<Rental> rentals = new ArrayList<>();
    added.forEach((pool, count) -> rentals.add(new Rental(pool, count)));
    return rentals;
  }
}
