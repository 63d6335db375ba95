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

/** Lets machines that are not needed run empty, and returns those that are idle. */
public final class ScaleInPolicy {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleInPolicy.class);

  /**
   * Room has to be there this long before a machine is let run empty. A default of this project.
   */
  private static final long SPARE_CAPACITY_PERIOD_MICROS = 10_000_000;

  /**
   * A machine with more of its CPUs taken by services would only run empty after long. A default of
   * this project.
   */
  private static final double MAX_SERVICE_SHARE = 0.4;

  private static final int MAX_RETIRED = 3;

  /**
   * Of a large fleet, one machine in this many may start to run empty at a time. A default of this
   * project.
   */
  private static final int RETIRED_DIVISOR = 25;

  /** Prices per CPU that differ by less are equal. */
  private static final double PRICE_TOLERANCE = 1e-9;

  /** From the end of the boot until the first task can start. */
  private static final long FIRST_REPORT_MICROS = 5_000_000;

  private final ClusterState clusterState;
  private final MachineTypeCatalog catalog;
  private final Tuning tuning;
  private final ScaleInExecutor scaleIn;
  private long spareCapacitySince;

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
    return longest + FIRST_REPORT_MICROS;
  }

  /**
   * Lets a few machines at a time run empty when the others have had room enough for their tasks
   * for a while. The dearest goes first, among equals the last of the list, which fills last.
   */
  public void cordonSpareMachines(long nowMicros, List<UnplacedTasks> waiting) {
    if (!waiting.isEmpty()) {
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
    int most = Math.max(MAX_RETIRED, clusterState.machines().size() / RETIRED_DIVISOR);
    for (int i = 0; i < most; i++) {
      Machine spare = mostExpensiveSpareMachine(nowMicros);
      if (spare == null) {
        break;
      }
      LOG.info("machine {} is to run empty", spare.name());
      spare.cordoned(true);
    }
    spareCapacitySince = nowMicros - SPARE_CAPACITY_PERIOD_MICROS / 2;
  }

  /** Takes the machines that run empty into use again. */
  private void uncordonAll() {
    for (Machine machine : clusterState.machines().values()) {
      if (machine.cordoned() && machine.phase() == MachinePhase.UP) {
        LOG.info("machine {} is needed again", machine.name());
        machine.cordoned(false);
        clusterState.requestPlacement();
      }
    }
  }

  /** The dearest machine, among equals the last of the list, whose work has room elsewhere. */
  private Machine mostExpensiveSpareMachine(long nowMicros) {
    double ordinary = clusterState.freeCpus(false);
    double spot = clusterState.freeCpus(true);
    double headroom = clusterState.services().headroomCpus(typicalBootMicros(), nowMicros);
    Machine best = null;
    for (Machine machine : clusterState.list().machines()) {
      if (!machine.schedulable() || nowMicros - machine.knownSince() < tuning.leastPaidMicros()) {
        continue;
      }
      double services = serviceCpus(machine);
      // What it offers now, and the room that its tasks would take elsewhere.
      double capacity = machine.type().cpus();
      boolean freeCapacity =
          machine.spot()
              ? spot + ordinary - headroom >= capacity
              : ordinary - machine.freeCpus() - services >= headroom
                  && spot + ordinary - headroom >= capacity;
      if (freeCapacity
          && services <= capacity * MAX_SERVICE_SHARE
          && (best == null || pricePerCpu(machine) >= pricePerCpu(best) - PRICE_TOLERANCE)) {
        best = machine;
      }
    }
    return best;
  }

  private static double serviceCpus(Machine machine) {
    double services = 0;
    for (Task task : machine.tasks()) {
      services += task.spec().spot() ? 0 : task.spec().cpus();
    }
    return services;
  }

  private static double pricePerCpu(Machine machine) {
    MachineType type = machine.type();
    return (machine.spot() ? type.spotPrice() : type.price()) / Math.max(1, type.cpus());
  }

  /** Returns the machines that have been idle for longer than they are kept. */
  public void releaseIdleMachines(long nowMicros) {
    for (Machine machine : clusterState.machines().values()) {
      long kept = machine.cordoned() ? 0 : tuning.idleKeptMicros();
      if (machine.phase() == MachinePhase.UP
          && machine.tasks().isEmpty()
          && nowMicros - machine.idleSince() > kept
          && nowMicros - machine.knownSince() > tuning.leastPaidMicros()) {
        scaleIn.markForRelease(machine, "idle", nowMicros);
      }
    }
  }
}
