package org.dewreach.controller;

import org.dewreach.config.Settings;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.membership.RecoveryTracker;
import org.dewreach.model.Job;
import org.dewreach.state.ClusterState;
import org.dewreach.state.JobRecordWriter;

/**
 * Coordinates cancellations and lease delegations: decides which cancellations may be confirmed
 * while other controllers may renew leases, and limits delegations in view of cancelled jobs.
 */
final class CancellationGate implements JobRecordWriter.CancellationCheck {
  private final ClusterState clusterState;
  private final Settings settings;
  private final LeaseDelegations delegations;
  private final RecoveryTracker recovery;

  CancellationGate(
      ClusterState clusterState,
      Settings settings,
      LeaseDelegations delegations,
      RecoveryTracker recovery) {
    this.clusterState = clusterState;
    this.settings = settings;
    this.delegations = delegations;
    this.recovery = recovery;
  }

  /**
   * Returns for how long from now the leases of a zone's workers may be renewed without this
   * leader.
   */
  long delegableMicros(String zone, long nowMicros) {
    Settings.WorkerSettings workers = settings.workers();
    long delegatedMicros = workers.maxDelegationMicros();
    for (Job job : clusterState.jobs().values()) {
      // The job's tasks must end in time even if no command reaches them any more. This limits
      // delegations once the cancellation is confirmed, and also before, so that it can be
      // confirmed soon.
      long until =
          switch (job.phase()) {
            case CANCEL_REQUESTED -> job.cancelRequestedAt() + workers.maxDelegationMicros();
            case CANCEL_COMMITTING, CANCELLED ->
                job.cancelledAt() + workers.maxRenewalBeforeCancellationMicros();
            // The tasks of a cancelled job have ended before it is finalized.
            case PERSISTING, ACTIVE, FINALIZING, ENDED -> Long.MAX_VALUE;
          };
      if (until - nowMicros < delegatedMicros && mayRunIn(job, zone)) {
        delegatedMicros = until - nowMicros;
      }
    }
    return Math.max(0, delegatedMicros);
  }

  private boolean mayRunIn(Job job, String zone) {
    return job.boundCountInZone(zone) > 0 || !recovery.allTasksKnown(job);
  }

  /**
   * True if a cancellation that is confirmed now holds, whichever controller renews leases in the
   * meantime: no further task starts, and running tasks end in time.
   *
   * <p>Guards against a machine that resumes after a hang or receives a start command late: a task
   * would start there after the cancellation was confirmed to the user.
   */
  @Override
  public boolean tasksEndInTime(Job job, long nowMicros) {
    if (!recovery.allTasksKnown(job) || job.hasTaskNotStarted()) {
      return false;
    }
    long latest = nowMicros + Math.max(0, settings.workers().maxRenewalBeforeCancellationMicros());
    return settings.zones().stream()
        .noneMatch(zone -> mayRunIn(job, zone) && delegations.delegatedUntil(zone) > latest);
  }
}
