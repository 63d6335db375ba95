package org.dewreach.autoscaling;

import java.util.Collection;
import java.util.Map;
import org.dewreach.model.Machine;
import org.dewreach.placement.FreeCapacity;
import org.dewreach.placement.SortFirstFit;

/**
 * Chooses the zone for a job whose tasks have to share one.
 *
 * <p>Guards against machines rented in a zone that the job cannot use, and against machines to come
 * in several zones that are counted together for it.
 */
final class SharedZoneSelector {
  private static final double PRICE_TOLERANCE = 1e-9;

  private final Collection<Machine> machines;
  private final PoolSelector selector;

  /** A selector for one plan. */
  SharedZoneSelector(Collection<Machine> machines, PoolSelector selector) {
    this.machines = machines;
    this.selector = selector;
  }

  /**
   * The zone of the job's bound tasks, else the one that can hold most of the others; among equals
   * the one in which the least remains to be paid for. Null if none can hold any of them.
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
      CapacityPlan trial = plan.copyOf(zone);
      int left = trial.cover(group, ZoneAllowance.only(zone), selector);
      // Machines that came for the job and that wait with it for the others make it stay there.
      double missing = 1 - (double) countTasksFittingNow(requirement, zone) / requirement.tasks();
      double price = (trial.price() - plan.price()) * missing;
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

  /** How many of the tasks fit into the free capacity of the zone's machines. */
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
