package org.dewreach.membership;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.config.Settings;
import org.dewreach.leadership.HandoverHistory;
import org.dewreach.leadership.PeerReachabilityPoller;
import org.dewreach.model.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether a leader that hears hardly any worker gives up the lead.
 *
 * <p>Another controller may have the workers that this one has lost; then it had better lead. But a
 * fleet that is gone, or hangs as a whole, is heard nowhere. If every leader gave up then, each
 * before the workers' leases are over by its own count, nothing would be placed anew for as long as
 * the silence lasts. So a leader gives up at once only the first time, before the workers can have
 * turned to others; after that it asks the others, and leads on unless one of them hears workers.
 */
public final class HandoverPolicy {
  private static final Logger LOG = LoggerFactory.getLogger(HandoverPolicy.class);

  /** How a leader stands to the workers. */
  enum Phase {
    /** Enough workers are heard and take answers. */
    REACHING_WORKERS,
    /** Hardly any is heard; it is not sure yet, or the workers may still be looking for us. */
    SUSPECTING_PARTITION,
    /** Another controller hears them, or may hear them: it is to lead. */
    GIVING_UP_LEAD,
    /** No other controller is known to hear them: handing over would help nobody. */
    LEADING_ON
  }

  private final FleetManager fleet;
  private final PeerReachabilityPoller peers;
  private final HandoverHistory handovers;
  private final Settings settings;
  private Phase phase = Phase.REACHING_WORKERS;
  private long suspectedSince;

  /** A policy of one term. */
  public HandoverPolicy(
      FleetManager fleet,
      PeerReachabilityPoller peers,
      HandoverHistory handovers,
      Settings settings) {
    this.fleet = fleet;
    this.peers = peers;
    this.handovers = handovers;
    this.settings = settings;
  }

  /** True if this node had better let another one lead. */
  public boolean shouldStepDown(long nowMicros) {
    FleetHealth health = fleet.health();
    boolean suspect = health.nearlyAllUnreachableOrLost();
    if (!suspect && phase == Phase.REACHING_WORKERS) {
      return false;
    }
    if (suspect) {
      peers.poll(() -> unreachableMachines(health), contactWindowMicros(), nowMicros);
    }
    PeerReachabilityPoller.Report report = peers.report(nowMicros);
    if (phase == Phase.REACHING_WORKERS) {
      suspectedSince = nowMicros;
    }
    changePhase(nextPhase(health, report, nowMicros), health, report);
    return phase == Phase.GIVING_UP_LEAD;
  }

  private Phase nextPhase(
      FleetHealth health, PeerReachabilityPoller.Report report, long nowMicros) {
    if (!health.nearlyAllUnreachableOrLost()) {
      return Phase.REACHING_WORKERS;
    }
    if (!health.nearlyAllUnreachable()) {
      // Their leases are over: only what another one hears speaks for handing over now.
      return report == PeerReachabilityPoller.Report.HEARD_ELSEWHERE
          ? Phase.GIVING_UP_LEAD
          : Phase.LEADING_ON;
    }
    if (!fleet.partitionedFromWorkers()) {
      return phase == Phase.LEADING_ON ? phase : Phase.SUSPECTING_PARTITION;
    }
    if (report == PeerReachabilityPoller.Report.HEARD_ELSEWHERE) {
      return Phase.GIVING_UP_LEAD;
    }
    return confirmedUnreachableFromAll(health, report, nowMicros)
            || handovers.recentlyHandedOver(nowMicros)
        ? Phase.LEADING_ON
        : Phase.GIVING_UP_LEAD;
  }

  /**
   * True if every other controller would hear the workers by now if it reached them, and does not.
   *
   * <p>Workers that are heard here and take no answers are heard elsewhere too: that tells nothing.
   */
  private boolean confirmedUnreachableFromAll(
      FleetHealth health, PeerReachabilityPoller.Report report, long nowMicros) {
    return report == PeerReachabilityPoller.Report.HEARD_NOWHERE
        && !health.mostlyMissesReplies()
        && nowMicros - suspectedSince >= WorkerTiming.CONTROLLER_RETRY_MICROS;
  }

  private void changePhase(Phase next, FleetHealth health, PeerReachabilityPoller.Report report) {
    if (next != phase) {
      LOG.info(
          "worker reachability changed: from={} to={} reachable={} overdue={} misses_replies={}"
              + " lost={} others={}",
          phase,
          next,
          health.reachable(),
          health.overdue().size(),
          health.in(MachineCondition.MISSES_REPLIES).size(),
          health.lostCount(),
          report);
      phase = next;
    }
  }

  private static List<String> unreachableMachines(FleetHealth health) {
    List<Machine> unheard = new ArrayList<>(health.overdue());
    unheard.addAll(health.in(MachineCondition.LOST));
    return unheard.stream().map(Machine::name).toList();
  }

  /** A worker that is led by a node out of its reach is heard by another this often, or oftener. */
  private long contactWindowMicros() {
    return 2 * settings.workers().heartbeatIntervalMicros() + WorkerTiming.CONTROLLER_RETRY_MICROS;
  }
}
