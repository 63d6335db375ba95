package org.dewreach.membership;

import java.util.List;
import org.dewreach.autoscaling.MachineRenter;
import org.dewreach.autoscaling.MachineRetirement;
import org.dewreach.autoscaling.MachineReturner;
import org.dewreach.autoscaling.RentalDemand;
import org.dewreach.cloud.CloudService;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.model.Machine;
import org.dewreach.scheduling.Consolidation;
import org.dewreach.scheduling.Dispatcher;
import org.dewreach.scheduling.ServiceMover;
import org.dewreach.state.ClusterState;
import org.dewreach.state.FleetRegister;
import org.dewreach.state.MachineCatalog;

/** Rents, watches and returns machines: runs the parts that do so, one round at a time. */
public final class FleetManager {
  private static final long ROUND_INTERVAL_MICROS = 1_000_000;

  private final MachineReturner returner;
  private final MachineHealthMonitor healthMonitor;
  private final MachineDrainer drainer;
  private final MachineRetirement retirement;
  private final ServiceMover serviceMover;
  private final Consolidation consolidation;
  private final MachineRenter renter;
  private final CloudMachineLister lister;
  private long nextRoundAt;

  public FleetManager(
      long term,
      ClusterState clusterState,
      FleetRegister register,
      LeaseDelegations delegations,
      CloudService cloud,
      MachineCatalog catalog,
      Settings settings,
      Tuning tuning,
      long nowMicros,
      long wallOffsetMicros) {
    this.returner = new MachineReturner(clusterState, register, cloud);
    this.healthMonitor =
        new MachineHealthMonitor(clusterState, delegations, settings, returner, nowMicros);
    this.drainer = new MachineDrainer(clusterState, settings, returner);
    this.retirement = new MachineRetirement(clusterState, catalog, tuning, returner);
    this.serviceMover = new ServiceMover(clusterState, tuning, ROUND_INTERVAL_MICROS);
    this.consolidation = new Consolidation(clusterState);
    RentalDemand demand = new RentalDemand(clusterState, settings, tuning, wallOffsetMicros);
    this.renter = new MachineRenter(term, clusterState, register, cloud, catalog, demand, returner);
    this.lister =
        new CloudMachineLister(clusterState, register, cloud, catalog, settings, returner);
  }

  /** Ignores all later answers of the cloud. */
  public void close() {
    returner.close();
    renter.close();
    lister.close();
  }

  /** From now on, and not before, this leader alone answers workers. */
  public void onAuthorityGained(long nowMicros) {
    healthMonitor.onAuthorityGained(nowMicros);
  }

  /** True if the worker has surely killed all its tasks, or never had any. */
  boolean leaseSurelyOver(Machine machine, long nowMicros) {
    return healthMonitor.leaseSurelyOver(machine, nowMicros);
  }

  /** Runs a round if one is due. */
  public void tick(long nowMicros, List<Dispatcher.Waiting> waiting, boolean mayRent) {
    if (nowMicros < nextRoundAt) {
      return;
    }
    nextRoundAt = nowMicros + ROUND_INTERVAL_MICROS;
    healthMonitor.check(nowMicros);
    drainer.drain(nowMicros);
    if (mayRent) {
      // Before all machines are accounted for, what looks idle may be needed in a moment.
      retirement.retire(nowMicros, waiting);
      serviceMover.move(nowMicros);
      consolidation.move(nowMicros);
      retirement.returnIdle(nowMicros);
      renter.rent(nowMicros, waiting);
    }
    returner.returnMarked(nowMicros);
    lister.list(nowMicros);
  }

  /** True if nothing new was heard of the machine for longer than reports take. */
  public boolean isSilent(Machine machine, long nowMicros) {
    return healthMonitor.isSilent(machine, nowMicros);
  }

  /** True if it is this node that has lost the workers, which another node may well have. */
  public boolean cutOff() {
    return healthMonitor.cutOff();
  }

  /** A machine that was returned may still be listed, or heard of, for a while. */
  public boolean isGone(String name) {
    return returner.isGone(name);
  }

  /** Typical time until a machine rented now is of use. */
  public long bootMicros() {
    return retirement.bootMicros();
  }
}
