package org.dewreach.autoscaling;

import org.dewreach.model.Machine;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;

/**
 * The machines of one type that the cloud offers in one zone, either as spot or as on-demand
 * machines.
 *
 * @param spot true for spot machines, false for on-demand ones
 */
public record MachinePool(MachineType type, String zone, boolean spot) {
  /** Returns the pool that a machine belongs to. */
  public static MachinePool of(Machine machine) {
    return new MachinePool(machine.type(), machine.zone(), machine.spot());
  }

  /** Returns the price of one machine. */
  double price() {
    return spot ? type.spotPrice() : type.price();
  }

  /** True if the job's constraints allow machines of this pool. */
  boolean permittedBy(JobSpec spec) {
    return SortFirstFit.permitted(spec, type.name(), zone, spot);
  }
}
