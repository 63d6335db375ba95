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
 * Reports what keeps a term's recovery open: until it has ended, machines are neither rented nor
 * returned for want of work.
 */
final class RecoveryReporter {
  private static final Logger LOG = LoggerFactory.getLogger(RecoveryReporter.class);

  private static final long INTERVAL_MICROS = 5_000_000;

  private static final long MICROS_PER_MS = 1_000;

  private final long term;
  private final ClusterState clusterState;
  private final FleetManager fleet;
  private final RecoveryDurationTracker clock;
  private long nextReportAt;

  RecoveryReporter(
      long term, ClusterState clusterState, FleetManager fleet, RecoveryDurationTracker clock) {
    this.term = term;
    this.clusterState = clusterState;
    this.fleet = fleet;
    this.clock = clock;
  }

  /**
   * Logs a line if one is due; the first one when the recovery has taken a while.
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
        clock.openMicros(nowMicros) / MICROS_PER_MS,
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

  /** How long ago the cloud's list was read as a whole, or -1 if this term has not read it yet. */
  private long listAgeMs(long nowMicros) {
    long listedAt = fleet.listedAt();
    return listedAt < 0 ? -1 : (nowMicros - listedAt) / MICROS_PER_MS;
  }
}
