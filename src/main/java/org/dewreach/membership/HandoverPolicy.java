package org.dewreach.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.dewreach.config.Settings;
import org.dewreach.leadership.HandoverHistory;
import org.dewreach.leadership.PeerReachabilityPoller;
import org.dewreach.model.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether a leader that can reach hardly any worker steps down.
 *
 * <p>Another controller may reach the workers that this one has lost; then that controller should
 * lead. But a fleet that is gone, or hangs as a whole, sends heartbeats to no controller. If every
 * leader then stepped down, each before the workers' leases had expired by its own measure, no task
 * would be placed elsewhere for as long as the silence lasts. So a leader steps down at once only
 * the first time, before the workers can have contacted other controllers. After that it queries
 * the other controllers, and keeps leading unless one of them receives heartbeats.
 */
public final class HandoverPolicy {
  private static final Logger LOG = LoggerFactory.getLogger(HandoverPolicy.class);

  /** The state of a leader's contact with the workers. */
  enum Phase {
    /** Enough workers send heartbeats and receive responses. */
    REACHING_WORKERS,
    /**
     * Hardly any worker is reachable, but this is not confirmed yet, or the workers may still be
     * looking for this leader.
     */
    SUSPECTING_PARTITION,
    /** Another controller receives the workers' heartbeats, or may receive them: it should lead. */
    GIVING_UP_LEAD,
    /**
     * No other controller is known to receive the workers' heartbeats: a handover would not help.
     */
    LEADING_ON
  }

  private final FleetManager fleet;
  private final PeerReachabilityPoller peers;
  private final HandoverHistory handovers;
  private final BooleanSupplier storeSuspected;
  private final Settings settings;
  private Phase phase = Phase.REACHING_WORKERS;
  private long suspectedSince;

  /**
   * Creates a policy for one term.
   *
   * @param storeSuspected returns true while the key-value store does not respond to this leader
   */
  public HandoverPolicy(
      FleetManager fleet,
      PeerReachabilityPoller peers,
      HandoverHistory handovers,
      BooleanSupplier storeSuspected,
      Settings settings) {
    this.fleet = fleet;
    this.peers = peers;
    this.handovers = handovers;
    this.storeSuspected = storeSuspected;
    this.settings = settings;
  }

  /** True if this controller should step down in favor of another one. */
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
      // Leases of these workers have expired, so their tasks can be placed elsewhere:
      // only heartbeats that another controller receives justify a handover now.
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
    // No controller can become leader in an outage of the key-value store. Guards against a leader
    // that gives up then without need: no query about a live job is answered until the outage ends.
    return storeSuspected.getAsBoolean()
            || confirmedUnreachableFromAll(health, report, nowMicros)
            || handovers.recentlyHandedOver(nowMicros)
        ? Phase.LEADING_ON
        : Phase.GIVING_UP_LEAD;
  }

  /**
   * True if every other controller would have received the workers' heartbeats by now if it could
   * reach them, and has not.
   *
   * <p>Not if most workers' heartbeats arrive here while they miss the responses: such workers
   * contact other controllers too, so that is no evidence.
   */
  private boolean confirmedUnreachableFromAll(
      FleetHealth health, PeerReachabilityPoller.Report report, long nowMicros) {
    return report == PeerReachabilityPoller.Report.HEARD_NOWHERE
        && !health.mostlyMissesResponses()
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
          health.in(MachineCondition.MISSES_RESPONSES).size(),
          health.lostCount(),
          report);
      phase = next;
    }
  }

  private static List<String> unreachableMachines(FleetHealth health) {
    List<Machine> unreachable = new ArrayList<>(health.overdue());
    unreachable.addAll(health.in(MachineCondition.LOST));
    return unreachable.stream().map(Machine::name).toList();
  }

  /**
   * Returns the longest interval at which a worker contacts another controller while its leader is
   * out of reach.
   */
  private long contactWindowMicros() {
    return 2 * settings.workers().heartbeatIntervalMicros() + WorkerTiming.CONTROLLER_RETRY_MICROS;
  }
}
