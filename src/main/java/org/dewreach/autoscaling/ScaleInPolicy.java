package org.dewreach.autoscaling;

import java.util.List;
import org.dewreach.config.Tuning;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.scheduling.UnplacedTasks;
import org.dewreach.state.ClusterState;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Cordons machines that are not needed, and marks idle machines for release. */
public final class ScaleInPolicy {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleInPolicy.class);

  /** There must be spare capacity for this long before a machine is cordoned. */
  private static final long SPARE_CAPACITY_PERIOD_MICROS = 10_000_000;

  /**
   * A machine is not cordoned if services use a larger share of its CPUs, because it would take
   * long to become empty.
   */
  private static final double MAX_SERVICE_SHARE = 0.4;

  /** The number of machines that may be cordoned in one round, unless a large fleet allows more. */
  private static final int MIN_CORDON_LIMIT_PER_ROUND = 3;

  /** In a large fleet, one in this many machines may be cordoned in one round. */
  private static final int MACHINES_PER_CORDON = 25;

  /** Prices per CPU that differ by less than this are considered equal. */
  private static final double PRICE_TOLERANCE = 1e-9;

  /** Time from the end of the boot until the first task can start, which requires a heartbeat. */
  private static final long FIRST_HEARTBEAT_DELAY_MICROS = 5_000_000;

  private final ClusterState clusterState;
  private final MachineTypeCatalog catalog;
  private final Tuning tuning;
  private final ScaleInExecutor scaleIn;
  private long spareCapacitySince;

  /** Creates the policy of one term. */
  public ScaleInPolicy(
      ClusterState clusterState,
      MachineTypeCatalog catalog,
      Tuning tuning,
      ScaleInExecutor scaleIn) {
    this.clusterState = clusterState;
    this.catalog = catalog;
    this.tuning = tuning;
    this.scaleIn = scaleIn;
  }

  /**
   * Returns the typical time until a machine that is rented now can run tasks, based on the type
   * with the longest boot time.
   */
  public long typicalBootMicros() {
    long longest = 0;
    for (MachineType type : catalog.types()) {
      longest = Math.max(longest, type.bootMicros());
    }
    return longest + FIRST_HEARTBEAT_DELAY_MICROS;
  }

  /**
   * Cordons a few machines per round once the others have had capacity for their tasks for a while,
   * and uncordons all machines as soon as there are unplaced tasks.
   */
  public void cordonSpareMachines(long nowMicros, List<UnplacedTasks> unplaced) {
    if (!unplaced.isEmpty()) {
      spareCapacitySince = nowMicros;
      uncordonAll();
      return;
    }
    if (nowMicros - spareCapacitySince <= SPARE_CAPACITY_PERIOD_MICROS) {
      if (mostExpensiveSpareMachine(nowMicros) == null) {
        spareCapacitySince = nowMicros;
      }
      return;
    }
    int maxCordoned =
        Math.max(MIN_CORDON_LIMIT_PER_ROUND, clusterState.machines().size() / MACHINES_PER_CORDON);
    for (int i = 0; i < maxCordoned; i++) {
      Machine spare = mostExpensiveSpareMachine(nowMicros);
      if (spare == null) {
        break;
      }
      LOG.info("machine cordoned: machine={} reason=\"spare capacity\"", spare.name());
      spare.cordoned(true);
    }
    spareCapacitySince = nowMicros - SPARE_CAPACITY_PERIOD_MICROS / 2;
  }

  private void uncordonAll() {
    for (Machine machine : clusterState.machines().values()) {
      if (machine.cordoned() && machine.phase() == MachinePhase.UP) {
        LOG.info("machine uncordoned: machine={} reason=\"unplaced tasks\"", machine.name());
        machine.cordoned(false);
        clusterState.requestPlacement();
      }
    }
  }

  /**
   * Returns the machine with the highest price per CPU among those whose tasks would fit on other
   * machines; among equals the last of the list, which is filled last. Null if there is none.
   */
  private Machine mostExpensiveSpareMachine(long nowMicros) {
    SpareCapacity spareCapacity = spareCapacity(nowMicros);
    Machine best = null;
    for (Machine machine : clusterState.sortedMachines().machines()) {
      if (!machine.schedulable() || nowMicros - machine.knownSince() < tuning.minRentalMicros()) {
        continue;
      }
      double serviceCpus = serviceCpus(machine);
      if (spareCapacity.canSpare(machine, serviceCpus)
          && serviceCpus <= machine.type().cpus() * MAX_SERVICE_SHARE
          && (best == null || pricePerCpu(machine) >= pricePerCpu(best) - PRICE_TOLERANCE)) {
        best = machine;
      }
    }
    return best;
  }

  /**
   * The free CPUs of the fleet.
   *
   * @param headroom the CPUs to keep free on on-demand machines for future services
   */
  private record SpareCapacity(double onDemandCpus, double spotCpus, double headroom) {
    /**
     * True if the fleet can do without the capacity of the machine and has capacity for its tasks.
     */
    boolean canSpare(Machine machine, double serviceCpus) {
      boolean enoughInAll = spotCpus + onDemandCpus - headroom >= machine.type().cpus();
      // Services run only on on-demand machines, so those must have capacity for them.
      boolean enoughOnDemand =
          machine.spot() || onDemandCpus - machine.freeCpus() - serviceCpus >= headroom;
      return enoughInAll && enoughOnDemand;
    }
  }

  private SpareCapacity spareCapacity(long nowMicros) {
    return new SpareCapacity(
        clusterState.freeCpus(false),
        clusterState.freeCpus(true),
        clusterState.serviceArrivalRate().headroomCpus(typicalBootMicros(), nowMicros));
  }

  /** Returns the CPUs used by tasks that may run only on on-demand machines. */
  private static double serviceCpus(Machine machine) {
    double cpus = 0;
    for (Task task : machine.tasks()) {
      cpus += task.spec().spot() ? 0 : task.spec().cpus();
    }
    return cpus;
  }

  private static double pricePerCpu(Machine machine) {
    return MachinePool.of(machine).price() / Math.max(1, machine.type().cpus());
  }

  /** Marks for release the machines that have been idle for longer than they are to be kept. */
  public void releaseIdleMachines(long nowMicros) {
    for (Machine machine : clusterState.machines().values()) {
      long keptMicros = machine.cordoned() ? 0 : tuning.idleTimeoutMicros();
      if (machine.phase() == MachinePhase.UP
          && machine.tasks().isEmpty()
          && nowMicros - machine.idleSince() > keptMicros
          && nowMicros - machine.knownSince() > tuning.minRentalMicros()) {
        scaleIn.markForRelease(machine, "idle", nowMicros);
      }
    }
  }
}
