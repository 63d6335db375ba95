package org.dewreach.heartbeat;

import org.dewreach.model.FailureHistory;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.state.ClusterState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Attributes task failures to the job or to the machine, and quarantines faulty machines. */
final class QuarantinePolicy {
  private static final Logger LOG = LoggerFactory.getLogger(QuarantinePolicy.class);

  private final ClusterState clusterState;

  QuarantinePolicy(ClusterState clusterState) {
    this.clusterState = clusterState;
  }

  /** Records that a task completed on the machine: earlier failures there no longer count. */
  void onTaskSucceeded(Machine machine, long nowMicros) {
    machine.failures().recordSuccess(nowMicros);
  }

  /** Records that a task of the job failed on the machine. */
  void onTaskFailed(Machine machine, Job job, long nowMicros) {
    job.backoff().recordFailure(machine.name(), nowMicros);
    if (job.backoff().failsRepeatedly()) {
      clusterState.withdrawFailures(job, "the job fails elsewhere too", nowMicros);
      return;
    }
    if (!job.startable()) {
      // Its user has cancelled it, possibly because it fails everywhere.
      return;
    }
    FailureHistory failures = machine.failures();
    failures.recordFailure(job.id(), job.doneCount() > 0);
    if (failures.showFaultyMachine() && !failures.quarantined()) {
      LOG.info(
          "machine quarantined: machine={} failed_tasks={}",
          machine.name(),
          failures.failureCount());
      failures.quarantine(nowMicros);
    }
  }
}
