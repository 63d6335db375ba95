package org.dewreach.membership;

import java.util.List;
import org.dewreach.autoscaling.ScaleInExecutor;
import org.dewreach.config.Settings;
import org.dewreach.model.FailureHistory;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drains machines that the cloud reclaims or that are faulty, and releases them once they are
 * empty.
 */
public final class MachineDrainer {
  private static final Logger LOG = LoggerFactory.getLogger(MachineDrainer.class);

  /**
   * Estimates of run times are often wrong by half, so a task is stopped early only if its estimate
   * exceeds the time left by this factor.
   */
  private static final double ESTIMATE_ERROR_FACTOR = 1.6;

  /** A quarantined machine keeps its tasks for this long, in which the quarantine may end. */
  private static final long QUARANTINE_GRACE_MICROS = 8_000_000;

  /**
   * A quarantined machine is not drained for this long while a job that failed there is still
   * retried elsewhere.
   */
  private static final long MAX_RETRY_WAIT_MICROS = 60_000_000;

  /** After this time, a quarantined machine that still runs tasks is put on probation. */
  private static final long PROBATION_AFTER_MICROS = 45_000_000;

  /** With {@link #PROBATION_AFTER_MICROS}, well below the longest wait beside free capacity. */
  private static final long PROBATION_MICROS = 30_000_000;

  private final ClusterState clusterState;
  private final Settings settings;
  private final ScaleInExecutor scaleIn;

  /** Creates a drainer for one term. */
  MachineDrainer(ClusterState clusterState, Settings settings, ScaleInExecutor scaleIn) {
    this.clusterState = clusterState;
    this.settings = settings;
    this.scaleIn = scaleIn;
  }

  /** Advances the drain of all machines that are reclaimed or whose quarantine is confirmed. */
  void drainMachines(long nowMicros) {
    for (Machine machine : List.copyOf(clusterState.machines().values())) {
      if (machine.phase() == MachinePhase.TERMINATING) {
        continue;
      }
      limitQuarantine(machine, nowMicros);
      if (quarantineConfirmed(machine, nowMicros)) {
        drain(machine, "quarantined", nowMicros);
      } else if (machine.reclaimAt() >= 0) {
        drain(machine, "reclaimed", nowMicros);
      }
    }
  }

  /**
   * Ends a quarantine by time: it becomes a probation, which ends as well unless a task fails.
   *
   * <p>Guards against a machine that neither receives tasks nor is released, because a replica runs
   * there that never ends. An empty machine is released instead.
   */
  private void limitQuarantine(Machine machine, long nowMicros) {
    FailureHistory failures = machine.failures();
    long lastedMicros = nowMicros - failures.stateSince();
    switch (failures.state()) {
      case QUARANTINED -> {
        if (lastedMicros > PROBATION_AFTER_MICROS && !machine.tasks().isEmpty()) {
          LOG.info("machine probation begins: machine={}", machine.name());
          failures.beginProbation(nowMicros);
          clusterState.resumePlacementOn(machine, nowMicros);
        }
      }
      case PROBATION -> {
        if (lastedMicros > PROBATION_MICROS) {
          LOG.info("machine probation ended: machine={}", machine.name());
          failures.clear(nowMicros);
          clusterState.requestPlacement();
        }
      }
      case NONE -> {
        // not quarantined
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

  /**
   * True if a machine is quarantined and the quarantine has had time to end because the jobs fail
   * elsewhere too.
   *
   * <p>Guards against releasing healthy machines because of jobs that take a while to fail: the
   * second failure, which shows that the job is at fault, takes at least as long as the first one
   * did.
   */
  private boolean quarantineConfirmed(Machine machine, long nowMicros) {
    if (!machine.quarantined()) {
      return false;
    }
    boolean retriedElsewhere =
        machine.failures().jobs().stream()
            .map(clusterState.jobs()::get)
            .anyMatch(job -> job != null && job.backoff().failedOnce());
    return nowMicros - machine.failures().stateSince()
        > (retriedElsewhere ? MAX_RETRY_WAIT_MICROS : QUARANTINE_GRACE_MICROS);
  }

  /** True if a task has far more left to run, by its owner's estimate, than the time available. */
  private static boolean cannotComplete(Task task, long availableMicros, long nowMicros) {
    boolean running = task.phase() == TaskPhase.RUNNING;
    long elapsed = running ? nowMicros - task.startedAt() : 0;
    return task.spec().expectedMicros() - elapsed
        > ESTIMATE_ERROR_FACTOR * Math.max(0, availableMicros);
  }
}
