package org.dewreach.autoscaling;

import java.util.Collection;
import java.util.List;
import org.dewreach.model.Machine;
import org.dewreach.wire.MachineType;

/**
 * Plans which machines to rent: unplaced tasks are first assigned, by the same first-fit rule as in
 * placement, to machines that are booting or requested; for the remaining tasks the cheapest pool
 * is chosen, one machine at a time.
 */
final class ScalingPlanner {
  private final RefusalBackoff refusals = new RefusalBackoff();

  /** Records that the cloud had fewer machines of the pool than requested. */
  void onRefused(MachinePool pool, long nowMicros) {
    refusals.onRefused(pool, nowMicros);
  }

  /** Records that the cloud had all requested machines of the pool. */
  void onFulfilled(MachinePool pool) {
    refusals.onFulfilled(pool);
  }

  /**
   * Returns the machines to request from the cloud now.
   *
   * @param requestedPools the pools of the machines that are requested and not rented yet
   * @param onDemandForAll false if tasks that may run on spot machines are to get only spot
   *     machines
   */
  List<Rental> plan(
      List<CapacityRequirement> requirements,
      Collection<Machine> machines,
      List<MachinePool> requestedPools,
      List<MachineType> catalog,
      boolean onDemandForAll,
      long nowMicros) {
    PoolSelector selector = new PoolSelector(catalog, onDemandForAll, refusals, nowMicros);
    SharedZoneSelector zoneSelector = new SharedZoneSelector(machines, selector);
    CapacityPlan plan = CapacityPlan.startingWith(machines, requestedPools, nowMicros);
    for (RequirementGroup group : RequirementGroup.of(requirements)) {
      ZoneAllowance allowance = allowance(group, plan, zoneSelector);
      if (allowance != null) {
        plan.cover(group, allowance, selector);
      }
    }
    return plan.rentals();
  }

  /** Returns the zones in which the group's tasks may be planned; null if there is none. */
  private static ZoneAllowance allowance(
      RequirementGroup group, CapacityPlan plan, SharedZoneSelector zoneSelector) {
    CapacityRequirement requirement = group.requirement();
    if (requirement.sharesZone()) {
      String zone = zoneSelector.select(group, plan);
      return zone == null ? null : ZoneAllowance.only(zone);
    }
    return requirement.spreadsOverZones()
        ? ZoneAllowance.atMostHalf(requirement)
        : ZoneAllowance.anyZone();
  }
}
