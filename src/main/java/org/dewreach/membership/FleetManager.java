package org.dewreach.membership;

import java.util.List;
import org.dewreach.autoscaling.CapacityDemand;
import org.dewreach.autoscaling.ScaleInExecutor;
import org.dewreach.autoscaling.ScaleInPolicy;
import org.dewreach.autoscaling.ScaleOutExecutor;
import org.dewreach.cloud.CloudClient;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.model.Machine;
import org.dewreach.scheduling.ServiceMigrator;
import org.dewreach.scheduling.TaskConsolidator;
import org.dewreach.scheduling.UnplacedTasks;
import org.dewreach.state.ClusterState;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.MachineTypeCatalog;

/**
 * Keeps the fleet healthy and at the right size, in one round per second: health checks, drains,
 * scale in, scale out and reconciliation with the cloud.
 */
public final class FleetManager {
  private static final long ROUND_INTERVAL_MICROS = 1_000_000;

  private final ScaleInExecutor scaleIn;
  private final FailureDetector failureDetector;
  private final PartitionDetector partitionDetector;
  private final MachineHealthMonitor healthMonitor;
  private final MachineDrainer drainer;
  private final ScaleInPolicy scaleInPolicy;
  private final ServiceMigrator serviceMigrator;
  private final TaskConsolidator consolidator;
  private final ScaleOutExecutor scaleOut;
  private final CloudReconciler cloudReconciler;
  private FleetHealth health = FleetHealth.EMPTY;
  private long nextRoundAt;

  /**
   * Creates a manager for one term.
   *
   * @param wallOffsetMicros wall-clock time minus event time
   */
  public FleetManager(
      long term,
      ClusterState clusterState,
      MachineRegistry registry,
      LeaseDelegations delegations,
      CloudClient cloud,
      MachineTypeCatalog catalog,
      Settings settings,
      Tuning tuning,
      long nowMicros,
      long wallOffsetMicros) {
    this.scaleIn = new ScaleInExecutor(clusterState, registry, cloud);
    this.failureDetector = new FailureDetector(delegations, settings.workers(), nowMicros);
    this.partitionDetector = new PartitionDetector(settings);
    this.healthMonitor =
        new MachineHealthMonitor(clusterState, failureDetector, partitionDetector, scaleIn);
    this.drainer = new MachineDrainer(clusterState, settings, scaleIn);
    this.scaleInPolicy = new ScaleInPolicy(clusterState, catalog, tuning, scaleIn);
    this.serviceMigrator = new ServiceMigrator(clusterState, tuning, ROUND_INTERVAL_MICROS);
    this.consolidator = new TaskConsolidator(clusterState);
    CapacityDemand demand = new CapacityDemand(clusterState, settings, tuning, wallOffsetMicros);
    this.scaleOut =
        new ScaleOutExecutor(term, clusterState, registry, cloud, catalog, demand, scaleIn);
    this.cloudReconciler =
        new CloudReconciler(
            clusterState, registry, cloud, catalog, settings, scaleIn, failureDetector);
  }

  /** Ignores all later responses of the cloud. */
  public void close() {
    scaleIn.close();
    scaleOut.close();
    cloudReconciler.close();
  }

  /**
   * Called when this leader becomes the only controller that responds to workers, and not earlier.
   */
  public void onAuthorityGained(long nowMicros) {
    failureDetector.onAuthorityGained(nowMicros);
  }

  /** True if the worker's lease has certainly expired, or if it never had any tasks. */
  boolean leaseExpired(Machine machine, long nowMicros) {
    return failureDetector.leaseExpired(machine, nowMicros);
  }

  /**
   * Runs a round if one is due.
   *
   * @param unplaced the tasks that the last placement pass could not place
   * @param mayScale true if every machine of earlier terms is reconciled
   */
  public void tick(long nowMicros, List<UnplacedTasks> unplaced, boolean mayScale) {
    if (nowMicros < nextRoundAt) {
      return;
    }
    nextRoundAt = nowMicros + ROUND_INTERVAL_MICROS;
    health = healthMonitor.checkMachines(nowMicros);
    drainer.drainMachines(nowMicros);
    if (mayScale) {
      // Until all machines are reconciled, a machine that looks idle may be needed shortly.
      scaleInPolicy.cordonSpareMachines(nowMicros, unplaced);
      serviceMigrator.migrate(nowMicros);
      consolidator.consolidate(nowMicros);
      scaleInPolicy.releaseIdleMachines(nowMicros);
      scaleOut.scaleOut(nowMicros, unplaced);
    }
    scaleIn.releaseMarked(nowMicros);
    cloudReconciler.reconcile(nowMicros);
  }

  /** True if no heartbeat of the machine has arrived for far longer than the interval. */
  public boolean isSilent(Machine machine, long nowMicros) {
    return failureDetector.isSilent(machine, nowMicros);
  }

  /** Returns the result of the last round. */
  FleetHealth health() {
    return health;
  }

  /** True if this controller has lost the workers, which another controller may well reach. */
  boolean partitionedFromWorkers() {
    return partitionDetector.partitionedFromWorkers();
  }

  /** True if an expected heartbeat of the machine has not arrived. */
  boolean missedHeartbeat(Machine machine, long nowMicros) {
    return failureDetector.missedHeartbeat(machine, nowMicros);
  }

  /** Marks a machine for release with the next request to the cloud. */
  void markForRelease(Machine machine, String reason, long nowMicros) {
    scaleIn.markForRelease(machine, reason, nowMicros);
  }

  /**
   * True if the machine was released. The cloud may still list it, and late heartbeats of it may
   * still arrive, for a while.
   */
  public boolean isReleased(String name) {
    return scaleIn.isReleased(name);
  }

  /** The time at which the cloud's list of machines was last read to its end, or -1. */
  public long listedAt() {
    return cloudReconciler.listedAt();
  }

  /** The number of known machines that the cloud's list omits although it should contain them. */
  public int unlistedMachines() {
    return cloudReconciler.unlistedMachines();
  }

  /** The typical time until a machine rented now is usable. */
  public long typicalBootMicros() {
    return scaleInPolicy.typicalBootMicros();
  }
}
