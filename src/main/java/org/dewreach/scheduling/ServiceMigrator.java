package org.dewreach.scheduling;

import org.dewreach.config.Tuning;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;

/**
 * Moves services off cordoned machines that would otherwise be kept for one or two of them. Each
 * move costs about a second of a replica's time, so only a small share of all replicas' time is
 * spent.
 */
public final class ServiceMigrator {
  /** Moves that may be saved up. */
  private static final double MAX_ACCUMULATED_MOVES = 2;

  /** A service that began lately is not moved. A default of this project. */
  private static final long MIN_RUN_BEFORE_MOVE_MICROS = 45_000_000;

  private static final double MICROS_PER_SECOND = 1e6;

  private final ClusterState clusterState;
  private final Tuning tuning;
  private final long roundIntervalMicros;
  private double moveBudget;

  /** A migrator of one term, which is called at this interval. */
  public ServiceMigrator(ClusterState clusterState, Tuning tuning, long roundIntervalMicros) {
    this.clusterState = clusterState;
    this.tuning = tuning;
    this.roundIntervalMicros = roundIntervalMicros;
  }

  /** Stops services to be placed elsewhere, as far as the budget goes. Called once a round. */
  public void migrate(long nowMicros) {
    double earned =
        countServiceReplicas()
            * tuning.maxMigrationShare()
            * roundIntervalMicros
            / MICROS_PER_SECOND;
    moveBudget = Math.min(MAX_ACCUMULATED_MOVES, moveBudget + earned);
    clusterState.sortedMachines().invalidateIndex();
    for (Machine machine : clusterState.machines().values()) {
      if (moveBudget < 1) {
        return;
      }
      if (!machine.cordoned() || machine.phase() != MachinePhase.UP) {
        continue;
      }
      Task movable = onlyMovableService(machine, nowMicros);
      if (movable != null) {
        moveBudget -= 1;
        clusterState.stop(movable, "moved, so that its machine can be returned", nowMicros);
        clusterState.requestPlacement();
      }
    }
  }

  private int countServiceReplicas() {
    int replicas = 0;
    for (Machine machine : clusterState.machines().values()) {
      for (Task task : machine.tasks()) {
        replicas += task.spec().jobKind() == JobKind.SERVICE ? 1 : 0;
      }
    }
    return replicas;
  }

  /** A service of a machine that has nothing else, and that could start at once elsewhere. */
  private Task onlyMovableService(Machine machine, long nowMicros) {
    Task found = null;
    for (Task task : machine.tasks()) {
      if (!isMovableService(task, nowMicros)) {
        return null;
      }
      found = task;
    }
    return found != null && canStartElsewhereImmediately(found.spec()) ? found : null;
  }

  private static boolean isMovableService(Task task, long nowMicros) {
    return task.spec().jobKind() == JobKind.SERVICE
        && task.spec().tasks() <= 1
        && task.phase() == TaskPhase.RUNNING
        && nowMicros - task.startedAt() > MIN_RUN_BEFORE_MOVE_MICROS;
  }

  private boolean canStartElsewhereImmediately(JobSpec spec) {
    return clusterState
            .sortedMachines()
            .firstFit(
                spec,
                machine -> SortFirstFit.permitted(spec, machine) && machine.fetchMicros(spec) == 0)
        != null;
  }
}
