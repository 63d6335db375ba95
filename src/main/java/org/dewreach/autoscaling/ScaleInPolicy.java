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

/** Cordons machines that are not needed, and has those released that are idle. */
public final class ScaleInPolicy {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleInPolicy.class);

  /**
   * There has to be spare capacity for this long before a machine is cordoned. A default of this
   * project.
   */
  private static final long SPARE_CAPACITY_PERIOD_MICROS = 10_000_000;

  /**
   * A machine with more of its CPUs taken by services would only run empty after long. A default of
   * this project.
   */
  private static final double MAX_SERVICE_SHARE = 0.4;

  /** Machines that may be cordoned in one round. */
  private static final int MIN_CORDON_LIMIT_PER_ROUND = 3;

  /**
   * Of a large fleet, one machine in this many may be cordoned in one round. A default of this
   * project.
   */
  private static final int MACHINES_PER_CORDON = 25;

  /** Prices per CPU that differ by less are equal. */
  private static final double PRICE_TOLERANCE = 1e-9;

  /** From the end of the boot until the first task can start. */
  private static final long FIRST_HEARTBEAT_DELAY_MICROS = 5_000_000;

  private final ClusterState clusterState;
  private final MachineTypeCatalog catalog;
  private final Tuning tuning;
  private final ScaleInExecutor scaleIn;
  private long spareCapacitySince;

  /** The policy of one term. */
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

  /** Typical time until a machine rented now is of use. */
  public long typicalBootMicros() {
    long longest = 0;
    for (MachineType type : catalog.types()) {
      longest = Math.max(longest, type.bootMicros());
    }
    return longest + FIRST_HEARTBEAT_DELAY_MICROS;
  }

  /**
   * Cordons a few machines at a time when the others have had capacity for their tasks for a while,
   * and uncordons all as soon as tasks wait.
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
    int most =
        Math.max(MIN_CORDON_LIMIT_PER_ROUND, clusterState.machines().size() / MACHINES_PER_CORDON);
    for (int i = 0; i < most; i++) {
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
   * The machine with the highest price per CPU among those whose tasks have room elsewhere; among
   * equals the last of the list, which fills last. Null if there is none.
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
   * @param headroom what is to stay free on on-demand machines for services to come
   */
  private record SpareCapacity(double onDemandCpus, double spotCpus, double headroom) {
    /** True if the fleet can spare what the machine offers, and has room for its tasks. */
    boolean canSpare(Machine machine, double serviceCpus) {
      boolean enoughInAll = spotCpus + onDemandCpus - headroom >= machine.type().cpus();
      // Services run on on-demand machines only, so those have to have room for them.
      boolean enoughOnDemand =
          machine.spot() || onDemandCpus - machine.freeCpus() - serviceCpus >= headroom;
      return enoughInAll && enoughOnDemand;
    }
  }

  private SpareCapacity spareCapacity(long nowMicros) {
    return new SpareCapacity(
        clusterState.freeCpus(false),
        clusterState.freeCpus(true),
        clusterState.serviceRate().headroomCpus(typicalBootMicros(), nowMicros));
  }

  /** The CPUs taken by tasks that may run on on-demand machines only. */
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

  /** Marks the machines for release that have been idle for longer than they are kept. */
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
