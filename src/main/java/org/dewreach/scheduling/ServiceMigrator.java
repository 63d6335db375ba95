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
 * move costs about one second of a replica's time, so moves are limited to a small share of the
 * time of all replicas.
 */
public final class ServiceMigrator {
  /** The number of unused moves that may accumulate. */
  private static final double MAX_ACCUMULATED_MOVES = 2;

  /** A service that has run for less than this is not moved. */
  private static final long MIN_RUN_BEFORE_MOVE_MICROS = 45_000_000;

  private static final double MICROS_PER_SECOND = 1e6;

  private final ClusterState clusterState;
  private final Tuning tuning;
  private final long roundIntervalMicros;
  private double moveBudget;

  /** Creates the migrator of one term; {@link #migrate} is called at the given interval. */
  public ServiceMigrator(ClusterState clusterState, Tuning tuning, long roundIntervalMicros) {
    this.clusterState = clusterState;
    this.tuning = tuning;
    this.roundIntervalMicros = roundIntervalMicros;
  }

  /**
   * Stops services so that they are placed on other machines, as far as the move budget allows.
   * Called once per round.
   */
  public void migrate(long nowMicros) {
    double earnedMoves =
        countServiceReplicas()
            * tuning.maxMigrationShare()
            * roundIntervalMicros
            / MICROS_PER_SECOND;
    moveBudget = Math.min(MAX_ACCUMULATED_MOVES, moveBudget + earnedMoves);
    clusterState.sortedMachines().invalidateIndex();
    for (Machine machine : clusterState.machines().values()) {
      if (moveBudget < 1) {
        return;
      }
      if (!machine.cordoned() || machine.phase() != MachinePhase.UP) {
        continue;
      }
      Task movable = findMovableService(machine, nowMicros);
      if (movable != null) {
        moveBudget -= 1;
        clusterState.stop(movable, "moved to release its machine", nowMicros);
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

  /**
   * Returns a service replica to move off the machine, or null. Null if the machine runs anything
   * other than movable services, or if the replica could not start immediately on another machine.
   */
  private Task findMovableService(Machine machine, long nowMicros) {
    Task candidate = null;
    for (Task task : machine.tasks()) {
      if (!isMovableService(task, nowMicros)) {
        return null;
      }
      candidate = task;
    }
    return candidate != null && canStartElsewhereImmediately(candidate.spec()) ? candidate : null;
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
