package org.dewreach.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.model.Admission;
import org.dewreach.placement.FreeCapacity;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;

/** Chooses the pool with the lowest cost per task among the pools that can be requested now. */
final class PoolSelector {
  private static final double COST_TOLERANCE = 1e-9;
  private static final double MICROS_PER_SECOND = 1e6;

  /** Time over which the cost of a machine during its start-up is amortized. */
  private static final double STARTUP_COST_AMORTIZATION_S = 120;

  /** Factor on the cost of a machine that becomes usable too late for the tasks. */
  private static final double LATE_COST_FACTOR = 2;

  private final List<MachineType> catalog;
  private final List<MachinePool> pools;
  private final boolean onDemandForAll;
  private final RefusalBackoff refusals;
  private final long nowMicros;

  /**
   * Creates a selector for one plan.
   *
   * @param onDemandForAll false if tasks that may run on spot machines are to get only spot
   *     machines
   */
  PoolSelector(
      List<MachineType> catalog, boolean onDemandForAll, RefusalBackoff refusals, long nowMicros) {
    this.catalog = catalog;
    this.pools = pools(catalog);
    this.onDemandForAll = onDemandForAll;
    this.refusals = refusals;
    this.nowMicros = nowMicros;
  }

  /**
   * Returns all pools, spot before on-demand ones: of pools with equal costs, the first one is
   * chosen.
   */
  private static List<MachinePool> pools(List<MachineType> catalog) {
    List<MachinePool> pools = new ArrayList<>();
    for (MachineType type : catalog) {
      for (String zone : type.zones()) {
        pools.add(new MachinePool(type, zone, true));
        pools.add(new MachinePool(type, zone, false));
      }
    }
    return pools;
  }

  /** Returns all machine types on offer. */
  List<MachineType> catalog() {
    return catalog;
  }

  /**
   * Returns the cheapest pool for the given number of the group's tasks, or null if there is none.
   */
  MachinePool cheapest(RequirementGroup group, int tasks, ZoneAllowance allowance) {
    MachinePool best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (MachinePool pool : pools) {
      int tasksInZone = Math.min(tasks, allowance.remaining(pool.zone()));
      if (tasksInZone <= 0 || !allowed(pool, group.requirement().spec())) {
        continue;
      }
      double cost = costPerTask(pool, group, tasksInZone);
      if (cost < bestCost - COST_TOLERANCE) {
        best = pool;
        bestCost = cost;
      }
    }
    return best;
  }

  private boolean allowed(MachinePool pool, JobSpec spec) {
    boolean spotOnly = spec.spot() && !onDemandForAll;
    return Admission.fits(spec, pool.type())
        && pool.permittedBy(spec)
        && refusals.available(pool, nowMicros)
        && (pool.spot() || !spotOnly);
  }

  /** Returns the cost per task of a machine of the pool, including its start-up. */
  private static double costPerTask(MachinePool pool, RequirementGroup group, int maxTasks) {
    CapacityRequirement requirement = group.requirement();
    MachineType type = pool.type();
    int tasks = FreeCapacity.of(type).allocate(requirement.spec(), maxTasks);
    // While it boots and fetches images, a machine is paid for but cannot run tasks.
    double fetchS = type.fetchGbPerS() > 0 ? group.fetchGb(tasks) / type.fetchGbPerS() : 0;
    boolean late = type.bootMicros() + fetchS * MICROS_PER_SECOND > requirement.slackMicros();
    double startupS = type.bootMicros() / MICROS_PER_SECOND + fetchS;
    double startupFactor = 1 + startupS / STARTUP_COST_AMORTIZATION_S;
    return pool.price() * startupFactor * (late ? LATE_COST_FACTOR : 1) / tasks;
  }
}
