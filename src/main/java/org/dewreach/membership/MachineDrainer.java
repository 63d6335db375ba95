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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Drains machines that the cloud recalls or that are faulty, and returns them once empty. */
public final class MachineDrainer {
  private static final Logger LOG = LoggerFactory.getLogger(MachineDrainer.class);

  /**
   * Estimates are often wrong by half, so a task is given up only if it is this far off. A default
   * of this project.
   */
  private static final double HOPELESS_FACTOR = 1.6;

  /**
   * A machine that is quarantined keeps its tasks for so long, in which it may be cleared. A
   * default of this project.
   */
  private static final long SUSPECT_MACHINE_GRACE_MICROS = 8_000_000;

  /**
   * It keeps them for this long while a job that failed there is still tried elsewhere. A default
   * of this project.
   */
  private static final long MAX_SUSPECT_MACHINE_TRIAL_MICROS = 60_000_000;

  private final ClusterState clusterState;
  private final Settings settings;
  private final ScaleInExecutor scaleIn;

  MachineDrainer(ClusterState clusterState, Settings settings, ScaleInExecutor scaleIn) {
    this.clusterState = clusterState;
    this.settings = settings;
    this.scaleIn = scaleIn;
  }

  /** Drains all machines that are recalled or surely faulty, one step further. */
  void drain(long nowMicros) {
    for (Machine machine : List.copyOf(clusterState.machines().values())) {
      boolean faulty = surelyFaulty(machine, nowMicros);
      boolean leaving = machine.reclaimAt() >= 0 || faulty;
      if (leaving && machine.phase() != MachinePhase.TERMINATING) {
        drain(machine, faulty, nowMicros);
      }
    }
  }

  private void drain(Machine machine, boolean faulty, long nowMicros) {
    if (machine.phase() == MachinePhase.UP) {
      LOG.info("machine {} drains: {}", machine.name(), faulty ? "set aside" : "to be taken");
      machine.become(MachinePhase.DRAINING, nowMicros);
      clusterState.requestPlacement();
    }
    if (machine.phase() != MachinePhase.DRAINING) {
      return;
    }
    if (machine.reclaimAt() >= 0) {
      stopRecalledTasks(machine, nowMicros);
    }
    if (machine.tasks().isEmpty()) {
      scaleIn.markForRelease(machine, "drained", nowMicros);
    }
  }

  private void stopRecalledTasks(Machine machine, long nowMicros) {
    for (Task task : List.copyOf(machine.tasks())) {
      boolean saves = task.spec().checkpointMicros() > 0;
      long lead = task.spec().saveMicros() + 2 * settings.workers().reportMicros();
      // What cannot save may still complete before the machine is taken. What surely will not
      // had better begin anew elsewhere now than once it is lost.
      if (task.spec().jobKind() == JobKind.SERVICE
          || saves && nowMicros + lead > machine.reclaimAt()
          || !saves && hopeless(task, machine.reclaimAt() - nowMicros, nowMicros)) {
        clusterState.stop(task, "its machine is to be taken", nowMicros);
      }
    }
  }

  /**
   * True if the jobs that failed on a machine that is quarantined have been tried elsewhere.
   *
   * <p>Guards against healthy machines returned for jobs that take a while to fail: the second
   * failure, which shows that it is the job, comes no sooner than the first one did.
   */
  private boolean surelyFaulty(Machine machine, long nowMicros) {
    if (!machine.quarantined()) {
      return false;
    }
    boolean onTrial =
        machine.failures().jobs().stream()
            .map(clusterState.jobs()::get)
            .anyMatch(job -> job != null && job.failedOnce());
    return nowMicros - machine.failures().quarantinedAt()
        > (onTrial ? MAX_SUSPECT_MACHINE_TRIAL_MICROS : SUSPECT_MACHINE_GRACE_MICROS);
  }

  /** True if a task has far more left to run, by its owner's estimate, than the time given. */
  private static boolean hopeless(Task task, long leftMicros, long nowMicros) {
    boolean running = task.phase() == TaskPhase.RUNNING;
    long ran = running ? nowMicros - task.startedAt() : 0;
    return task.spec().expectedMicros() - ran > HOPELESS_FACTOR * Math.max(0, leftMicros);
  }
}
