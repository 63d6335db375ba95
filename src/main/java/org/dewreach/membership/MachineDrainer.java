package org.dewreach.membership;

import java.util.List;
import org.dewreach.autoscaling.ScaleInExecutor;
import org.dewreach.config.Settings;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;

/**
 * Drains machines that the cloud reclaims or that are faulty, and releases them once they are
 * empty.
 */
public final class MachineDrainer {
  /**
   * Estimates of run times are often wrong by half, so a task is stopped early only if its estimate
   * exceeds the time left by this factor.
   */
  private static final double ESTIMATE_ERROR_FACTOR = 1.6;

  private final ClusterState clusterState;
  private final Settings settings;
  private final ScaleInExecutor scaleIn;
  private final QuarantineTimer quarantineTimer;

  /** Creates a drainer for one term. */
  MachineDrainer(ClusterState clusterState, Settings settings, ScaleInExecutor scaleIn) {
    this.clusterState = clusterState;
    this.settings = settings;
    this.scaleIn = scaleIn;
    this.quarantineTimer = new QuarantineTimer(clusterState);
  }

  /** Advances the drain of all machines that are reclaimed or whose quarantine is confirmed. */
  void drainMachines(long nowMicros) {
    for (Machine machine : List.copyOf(clusterState.machines().values())) {
      if (machine.phase() == MachinePhase.TERMINATING) {
        continue;
      }
      quarantineTimer.update(machine, nowMicros);
      if (quarantineTimer.mayDrain(machine, nowMicros)) {
        drain(machine, "quarantined", nowMicros);
      } else if (machine.reclaimAt() >= 0) {
        drain(machine, "reclaimed", nowMicros);
      }
    }
  }

  private void drain(Machine machine, String reason, long nowMicros) {
    if (machine.phase() == MachinePhase.UP) {
      clusterState.changePhase(machine, MachinePhase.DRAINING, reason, nowMicros);
    }
    if (machine.phase() != MachinePhase.DRAINING) {
      return;
    }
    if (machine.reclaimAt() >= 0) {
      stopTasksBeforeReclaim(machine, nowMicros);
    }
    if (machine.tasks().isEmpty()) {
      scaleIn.markForRelease(machine, "drained", nowMicros);
    }
  }

  private void stopTasksBeforeReclaim(Machine machine, long nowMicros) {
    for (Task task : List.copyOf(machine.tasks())) {
      if (shouldStop(task, machine.reclaimAt(), nowMicros)) {
        clusterState.stop(task, "machine reclaimed", nowMicros);
      }
    }
  }

  /** True if the task should be stopped now so that it can run elsewhere. */
  private boolean shouldStop(Task task, long reclaimAt, long nowMicros) {
    if (task.spec().jobKind() == JobKind.SERVICE) {
      return true;
    }
    if (task.spec().checkpointIntervalMicros() > 0) {
      long stopLeadTime =
          task.spec().checkpointDurationMicros() + 2 * settings.workers().heartbeatIntervalMicros();
      return nowMicros + stopLeadTime > reclaimAt;
    }
    // A task without checkpoints may still complete before the machine is reclaimed. One that
    // certainly will not should restart elsewhere now rather than after it is lost.
    return cannotComplete(task, reclaimAt - nowMicros, nowMicros);
  }

  /** True if a task has far more left to run, by its owner's estimate, than the time available. */
  private static boolean cannotComplete(Task task, long availableMicros, long nowMicros) {
    boolean running = task.phase() == TaskPhase.RUNNING;
    long elapsed = running ? nowMicros - task.startedAt() : 0;
    return task.spec().expectedMicros() - elapsed
        > ESTIMATE_ERROR_FACTOR * Math.max(0, availableMicros);
  }
}
