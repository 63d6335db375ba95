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
 * Moves services off machines that would otherwise be kept for one or two of them. Each move costs
 * about a second of a replica's time, so only a small share of all replicas' time is spent.
 */
public final class ServiceMigrator {
  private static final double MAX_MOVES_SAVED = 2;

  /** A service that began lately is not moved. A default of this project. */
  private static final long SETTLED_AFTER_MICROS = 45_000_000;

  private static final double MICROS_PER_SECOND = 1e6;

  private final ClusterState clusterState;
  private final Tuning tuning;
  private final long roundIntervalMicros;
  private double moveBudget;

  public ServiceMigrator(ClusterState clusterState, Tuning tuning, long roundIntervalMicros) {
    this.clusterState = clusterState;
    this.tuning = tuning;
    this.roundIntervalMicros = roundIntervalMicros;
  }

  /** Stops services to be placed elsewhere, as far as the budget goes. Called once a round. */
  public void migrate(long nowMicros) {
    moveBudget =
        Math.min(
            MAX_MOVES_SAVED,
            moveBudget
                + replicas() * tuning.movedShare() * roundIntervalMicros / MICROS_PER_SECOND);
    clusterState.list().invalidateIndex();
    for (Machine machine : clusterState.machines().values()) {
      if (moveBudget < 1) {
        return;
      }
      if (!machine.cordoned() || machine.phase() != MachinePhase.UP) {
        continue;
      }
      Task movable = movable(machine, nowMicros);
      if (movable != null) {
        moveBudget -= 1;
        clusterState.stop(movable, "moved, so that its machine can be returned", nowMicros);
        clusterState.requestPlacement();
      }
    }
  }

  private int replicas() {
    int replicas = 0;
    for (Machine machine : clusterState.machines().values()) {
      for (Task task : machine.tasks()) {
        replicas += task.spec().jobKind() == JobKind.SERVICE ? 1 : 0;
      }
    }
    return replicas;
  }

  /** A service of a machine that has nothing else, and that could start at once elsewhere. */
  private Task movable(Machine machine, long nowMicros) {
    Task found = null;
    for (Task task : machine.tasks()) {
      boolean settled =
          task.phase() == TaskPhase.RUNNING && nowMicros - task.startedAt() > SETTLED_AFTER_MICROS;
      if (task.spec().jobKind() != JobKind.SERVICE || task.spec().tasks() > 1 || !settled) {
        return null;
      }
      found = task;
    }
    if (found == null) {
      return null;
    }
    JobSpec spec = found.spec();
    Machine target =
        clusterState
            .list()
            .firstFit(
                spec, other -> SortFirstFit.permitted(spec, other) && other.fetchMicros(spec) == 0);
    return target == null ? null : found;
  }
}
