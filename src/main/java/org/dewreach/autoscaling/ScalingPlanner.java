package org.dewreach.autoscaling;

import java.util.Collection;
import java.util.List;
import org.dewreach.model.Machine;
import org.dewreach.wire.MachineType;

/**
 * Chooses what to rent: unplaced tasks are first fitted, by the rule of placement, on machines that
 * are still booting; for the rest the cheapest pool is chosen, one machine at a time.
 */
final class ScalingPlanner {
  private final RefusalBackoff refusals = new RefusalBackoff();

  /** The cloud had fewer machines of the pool than were asked for. */
  void onRefused(MachinePool pool, long nowMicros) {
    refusals.onRefused(pool, nowMicros);
  }

  /** The cloud had all machines of the pool that were asked for. */
  void onFulfilled(MachinePool pool) {
    refusals.onFulfilled(pool);
  }

  /**
   * What to ask the cloud for now.
   *
   * @param requestedPools the pools of the machines that were asked for and have not come yet
   * @param onDemandForAll false if work that may run on spot machines is to get only those
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

  /** Where the group's tasks may be planned; null if they can be planned nowhere. */
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
