package org.dewreach.controller;

import java.util.List;
import org.dewreach.membership.FleetManager;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.scheduling.UnplacedTasks;
import org.dewreach.state.ClusterState;
import org.dewreach.state.RecoveryDurationTracker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports what keeps a term's recovery open. Until recovery ends, no machines are rented, and none
 * are returned because they are idle.
 */
final class RecoveryReporter {
  private static final Logger LOG = LoggerFactory.getLogger(RecoveryReporter.class);

  private static final long INTERVAL_MICROS = 5_000_000;

  private static final long MICROS_PER_MS = 1_000;

  private final long term;
  private final ClusterState clusterState;
  private final FleetManager fleet;
  private final RecoveryDurationTracker durationTracker;
  private long nextReportAt;

  RecoveryReporter(
      long term,
      ClusterState clusterState,
      FleetManager fleet,
      RecoveryDurationTracker durationTracker) {
    this.term = term;
    this.clusterState = clusterState;
    this.fleet = fleet;
    this.durationTracker = durationTracker;
  }

  /**
   * Logs a line if the interval has passed both since recovery began and since the last line.
   *
   * @param recoveringSince when this term began to recover
   */
  void tick(long recoveringSince, List<UnplacedTasks> unplaced, long nowMicros) {
    if (nowMicros < Math.max(nextReportAt, recoveringSince + INTERVAL_MICROS)) {
      return;
    }
    nextReportAt = nowMicros + INTERVAL_MICROS;
    LOG.info(
        "recovery open: term={} for_ms={} over_terms_ms={} unknown={} unconfirmed={}"
            + " terminating={} list_age_ms={} unlisted={} tasks_waiting={}",
        term,
        (nowMicros - recoveringSince) / MICROS_PER_MS,
        durationTracker.openMicros(nowMicros) / MICROS_PER_MS,
        count(MachinePhase.UNKNOWN),
        count(MachinePhase.UNCONFIRMED),
        count(MachinePhase.TERMINATING),
        listAgeMs(nowMicros),
        fleet.unlistedMachines(),
        TermReporter.unplacedTaskCount(unplaced));
  }

  private long count(MachinePhase phase) {
    return clusterState.machines().values().stream()
        .map(Machine::phase)
        .filter(phase::equals)
        .count();
  }

  /**
   * Returns the age of the last complete machine list from the cloud, or -1 if this term has not
   * read one.
   */
  private long listAgeMs(long nowMicros) {
    long listedAt = fleet.listedAt();
    return listedAt < 0 ? -1 : (nowMicros - listedAt) / MICROS_PER_MS;
  }
}
