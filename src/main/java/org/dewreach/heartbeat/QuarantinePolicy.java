package org.dewreach.heartbeat;

import org.dewreach.membership.MachineDrainer;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.state.ClusterState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Attributes the failures of tasks to their job or to their machine, and quarantines the latter.
 */
final class QuarantinePolicy {
  private static final Logger LOG = LoggerFactory.getLogger(QuarantinePolicy.class);

  /** A machine on which tasks of this many jobs failed in a row is not given more. */
  private static final int MAX_FAILED_JOBS = 2;

  /** Nor one on which this many tasks failed in a row of a job that completes them elsewhere. */
  private static final int MAX_FAILURES = 3;

  private final ClusterState clusterState;

  QuarantinePolicy(ClusterState clusterState) {
    this.clusterState = clusterState;
  }

  /** A task completed on the machine: what failed there before says nothing about it. */
  void onTaskSucceeded(Machine machine) {
    machine.failures().recordSuccess();
  }

  /** A task of the job failed on the machine. */
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

  /** One job's failures tell as much only where its other tasks have completed elsewhere. */
  private static boolean isFaulty(Machine machine, Job job) {
    return machine.failures().jobs().size() >= MAX_FAILED_JOBS
        || machine.failures().failureCount() >= MAX_FAILURES && job.doneCount() > 0;
  }

  /**
   * A job that fails wherever it goes says nothing about the machines.
   *
   * <p>Guards against healthy machines that are quarantined, and rented again, because two jobs
   * with a mistake met there.
   */
  private void clearFailuresOfJob(Job job, long nowMicros) {
    for (String name : job.backoff().avoidedMachines(nowMicros)) {
      Machine machine = clusterState.machines().get(name);
      boolean blamed = machine != null && machine.failures().jobs().remove(job.id());
      if (blamed && machine.quarantined() && !isFaulty(machine, job)) {
        LOG.info("machine quarantine ended: machine={} failing_job={}", name, job.id());
        machine.failures().endQuarantine();
        stopDraining(machine, nowMicros);
        clusterState.requestPlacement();
      }
    }
  }

  /**
   * A machine that only drains because it was quarantined takes tasks again.
   *
   * <p>Guards against a machine that is cleared once {@link MachineDrainer} has begun to drain it:
   * it was given nothing, and never returned, until the term ended.
   */
  private void stopDraining(Machine machine, long nowMicros) {
    if (machine.phase() == MachinePhase.DRAINING && machine.reclaimAt() < 0) {
      clusterState.changePhase(machine, MachinePhase.UP, "quarantine ended", nowMicros);
    }
  }
}
