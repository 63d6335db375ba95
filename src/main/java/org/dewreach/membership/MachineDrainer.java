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

/** Drains machines that the cloud reclaims or that are faulty, and releases them once empty. */
public final class MachineDrainer {
  /**
   * Estimates are often wrong by half, so a task is stopped early only if it is this far off. A
   * default of this project.
   */
  private static final double ESTIMATE_ERROR_FACTOR = 1.6;

  /**
   * A quarantined machine keeps its tasks for this long, in which the quarantine may end. A default
   * of this project.
   */
  private static final long QUARANTINE_GRACE_MICROS = 8_000_000;

  /**
   * It keeps them for this long while a job that failed there is still tried elsewhere. A default
   * of this project.
   */
  private static final long MAX_QUARANTINE_MICROS = 60_000_000;

  private final ClusterState clusterState;
  private final Settings settings;
  private final ScaleInExecutor scaleIn;

  /** A drainer of one term. */
  MachineDrainer(ClusterState clusterState, Settings settings, ScaleInExecutor scaleIn) {
    this.clusterState = clusterState;
    this.settings = settings;
    this.scaleIn = scaleIn;
  }

  /** Drains all machines that are reclaimed or surely faulty, one step further. */
  void drainMachines(long nowMicros) {
    for (Machine machine : List.copyOf(clusterState.machines().values())) {
      if (machine.phase() == MachinePhase.TERMINATING) {
        continue;
      }
      if (quarantineConfirmed(machine, nowMicros)) {
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

  /** True if the task is better off elsewhere from now on. */
  private boolean shouldStop(Task task, long reclaimAt, long nowMicros) {
    if (task.spec().jobKind() == JobKind.SERVICE) {
      return true;
    }
    if (task.spec().checkpointIntervalMicros() > 0) {
      long lead =
          task.spec().checkpointDurationMicros() + 2 * settings.workers().heartbeatIntervalMicros();
      return nowMicros + lead > reclaimAt;
    }
    // What cannot save may still complete before the machine is taken. What surely will not had
    // better begin anew elsewhere now than once it is lost.
    return cannotComplete(task, reclaimAt - nowMicros, nowMicros);
  }

  /**
   * True if a machine is quarantined and has had time to be cleared by its jobs failing elsewhere
   * too.
   *
   * <p>Guards against healthy machines released for jobs that take a while to fail: the second
   * failure, which shows that it is the job, comes no sooner than the first one did.
   */
  private boolean quarantineConfirmed(Machine machine, long nowMicros) {
    if (!machine.quarantined()) {
      return false;
    }
    boolean stillTriedElsewhere =
        machine.failures().jobs().stream()
            .map(clusterState.jobs()::get)
            .anyMatch(job -> job != null && job.backoff().failedOnce());
    return nowMicros - machine.failures().quarantinedAt()
        > (stillTriedElsewhere ? MAX_QUARANTINE_MICROS : QUARANTINE_GRACE_MICROS);
  }

  /** True if a task has far more left to run, by its owner's estimate, than the time given. */
  private static boolean cannotComplete(Task task, long leftMicros, long nowMicros) {
    boolean running = task.phase() == TaskPhase.RUNNING;
    long ran = running ? nowMicros - task.startedAt() : 0;
    return task.spec().expectedMicros() - ran > ESTIMATE_ERROR_FACTOR * Math.max(0, leftMicros);
  }
}
