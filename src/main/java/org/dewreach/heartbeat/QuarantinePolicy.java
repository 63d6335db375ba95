package org.dewreach.heartbeat;

import org.dewreach.membership.MachineDrainer;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.state.ClusterState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Attributes task failures to the job or to the machine, and quarantines faulty machines. */
final class QuarantinePolicy {
  private static final Logger LOG = LoggerFactory.getLogger(QuarantinePolicy.class);

  /** A machine is quarantined after tasks of this many jobs have failed there in a row. */
  private static final int MAX_FAILED_JOBS = 2;

  /**
   * A machine is also quarantined after this many tasks have failed there in a row if they belong
   * to a job that completes tasks elsewhere.
   */
  private static final int MAX_FAILURES = 3;

  private final ClusterState clusterState;

  QuarantinePolicy(ClusterState clusterState) {
    this.clusterState = clusterState;
  }

  /** Records that a task completed on the machine: earlier failures there no longer count. */
  void onTaskSucceeded(Machine machine) {
    machine.failures().recordSuccess();
  }

  /** Records that a task of the job failed on the machine. */
  void onTaskFailed(Machine machine, Job job, long nowMicros) {
    job.backoff().recordFailure(machine.name(), nowMicros);
    if (job.backoff().failsRepeatedly()) {
      clearFailuresOfJob(job, nowMicros);
      return;
    }
    machine.failures().recordFailure(job.id());
    if (isFaulty(machine, job) && !machine.quarantined()) {
      LOG.info(
          "machine quarantined: machine={} failed_tasks={}",
          machine.name(),
          machine.failures().failureCount());
      machine.failures().quarantine(nowMicros);
    }
  }

  /**
   * True if the machine's failures show that it is faulty. Failures of one job show it only if
   * other tasks of that job have completed elsewhere.
   */
  private static boolean isFaulty(Machine machine, Job job) {
    return machine.failures().jobs().size() >= MAX_FAILED_JOBS
        || machine.failures().failureCount() >= MAX_FAILURES && job.doneCount() > 0;
  }

  /**
   * Clears the failures of a job from its machines: a job that fails everywhere is no evidence
   * against them.
   *
   * <p>Guards against healthy machines that are quarantined, and replaced by newly rented ones,
   * because two jobs with an error of their own ran there.
   */
  private void clearFailuresOfJob(Job job, long nowMicros) {
    for (String name : job.backoff().avoidedMachines(nowMicros)) {
      Machine machine = clusterState.machines().get(name);
      boolean removed = machine != null && machine.failures().jobs().remove(job.id());
      if (removed && machine.quarantined() && !isFaulty(machine, job)) {
        LOG.info("machine quarantine ended: machine={} failing_job={}", name, job.id());
        machine.failures().endQuarantine();
        stopDraining(machine, nowMicros);
        clusterState.requestPlacement();
      }
    }
  }

  /**
   * Makes a machine available for tasks again if it drains only because it was quarantined.
   *
   * <p>Guards against a machine whose quarantine ends after {@link MachineDrainer} has begun to
   * drain it: it received no tasks, and was never released, until the term ended.
   */
  private void stopDraining(Machine machine, long nowMicros) {
    if (machine.phase() == MachinePhase.DRAINING && machine.reclaimAt() < 0) {
      clusterState.changePhase(machine, MachinePhase.UP, "quarantine ended", nowMicros);
    }
  }
}
