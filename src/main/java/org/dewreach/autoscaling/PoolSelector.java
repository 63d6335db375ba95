package org.dewreach.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.model.Admission;
import org.dewreach.placement.FreeCapacity;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;

/** Chooses the pool that is the cheapest per task, among those that can be asked for now. */
final class PoolSelector {
  private static final double COST_TOLERANCE = 1e-9;
  private static final double MICROS_PER_SECOND = 1e6;

  /**
   * Time over which what a machine costs until it is of use is spread. A default of this project.
   */
  private static final double STARTUP_COST_AMORTIZATION_S = 120;

  /**
   * How much dearer a machine counts that comes too late for the tasks. A default of this project.
   */
  private static final double LATE_COST_FACTOR = 2;

  private final List<MachineType> catalog;
  private final List<MachinePool> pools;
  private final boolean onDemandForAll;
  private final RefusalBackoff refusals;
  private final long nowMicros;

  /**
   * A selector for one plan.
   *
   * @param onDemandForAll false if work that may run on spot machines is to get only those
   */
  PoolSelector(
      List<MachineType> catalog, boolean onDemandForAll, RefusalBackoff refusals, long nowMicros) {
    this.catalog = catalog;
    this.pools = pools(catalog);
    this.onDemandForAll = onDemandForAll;
    this.refusals = refusals;
    this.nowMicros = nowMicros;
  }

  /** Spot pools before on-demand ones: of pools with equal costs the first one is chosen. */
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

  /** All machine types on offer. */
  List<MachineType> catalog() {
    return catalog;
  }

  /** The cheapest pool for the given number of the group's tasks, or null if there is none. */
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

  /** What a machine of the pool costs per task, with its start-up. */
  private static double costPerTask(MachinePool pool, RequirementGroup group, int maxTasks) {
    CapacityRequirement requirement = group.requirement();
    MachineType type = pool.type();
    int tasks = FreeCapacity.of(type).allocate(requirement.spec(), maxTasks);
    // Until it has booted and fetched its images, a machine is paid for and of no use.
    double fetchS = type.fetchGbPerS() > 0 ? group.fetchGb(tasks) / type.fetchGbPerS() : 0;
    boolean late = type.bootMicros() + fetchS * MICROS_PER_SECOND > requirement.slackMicros();
    double startupS = type.bootMicros() / MICROS_PER_SECOND + fetchS;
    double startupFactor = 1 + startupS / STARTUP_COST_AMORTIZATION_S;
    return pool.price() * startupFactor * (late ? LATE_COST_FACTOR : 1) / tasks;
  }
}
