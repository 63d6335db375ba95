package org.dewreach.autoscaling;

import java.util.Collection;
import java.util.Map;
import org.dewreach.model.Machine;
import org.dewreach.placement.FreeCapacity;
import org.dewreach.placement.SortFirstFit;

/**
 * Chooses the zone for a job whose tasks must share one.
 *
 * <p>Guards against renting machines in a zone that the job cannot use, and against counting
 * expected machines of several zones together for one job.
 */
final class SharedZoneSelector {
  private static final double PRICE_TOLERANCE = 1e-9;

  private final Collection<Machine> machines;
  private final PoolSelector selector;

  /** Creates a selector for one plan. */
  SharedZoneSelector(Collection<Machine> machines, PoolSelector selector) {
    this.machines = machines;
    this.selector = selector;
  }

  /**
   * Returns the zone of the job's bound tasks, or else the zone that can hold most of the unplaced
   * tasks; among equals, the zone where the machines that are still missing cost least. Null if no
   * zone can hold any of them.
   */
  String select(RequirementGroup group, CapacityPlan plan) {
    CapacityRequirement requirement = group.requirement();
    String boundZone = boundZone(requirement);
    if (boundZone != null) {
      return boundZone;
    }
    String best = null;
    int fewestLeft = requirement.tasks();
    double bestPrice = 0;
    for (String zone : plan.zones(selector.catalog())) {
      CapacityPlan candidatePlan = plan.copyOf(zone);
      int left = candidatePlan.cover(group, ZoneAllowance.only(zone), selector);
      // Lowers the price of a zone where machines that were rented for the job already wait for the
      // remaining ones, so that the job keeps that zone.
      double missingShare =
          1 - (double) countTasksFittingNow(requirement, zone) / requirement.tasks();
      double price = (candidatePlan.price() - plan.price()) * missingShare;
      boolean cheaper = best != null && left == fewestLeft && price < bestPrice - PRICE_TOLERANCE;
      if (left < fewestLeft || cheaper) {
        best = zone;
        fewestLeft = left;
        bestPrice = price;
      }
    }
    return best;
  }

  private static String boundZone(CapacityRequirement requirement) {
    for (Map.Entry<String, Integer> entry : requirement.boundByZone().entrySet()) {
      if (entry.getValue() > 0) {
        return entry.getKey();
      }
    }
    return null;
  }

  /** Returns how many of the tasks fit into the free capacity of the zone's machines. */
  private int countTasksFittingNow(CapacityRequirement requirement, String zone) {
    int tasks = 0;
    for (Machine machine : machines) {
      if (tasks < requirement.tasks()
          && machine.zone().equals(zone)
          && machine.schedulable()
          && SortFirstFit.permitted(requirement.spec(), machine)) {
        int left = requirement.tasks() - tasks;
        tasks += FreeCapacity.free(machine).allocate(requirement.spec(), left);
      }
    }
    return tasks;
  }
}
