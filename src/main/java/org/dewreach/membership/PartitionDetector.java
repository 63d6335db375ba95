package org.dewreach.membership;

import org.dewreach.config.Settings;

/**
 * Detects that this controller is partitioned from the workers, as opposed to the workers being
 * down.
 */
final class PartitionDetector {
  /** The number of consecutive rounds that have to indicate a partition. */
  private static final int MIN_CONSECUTIVE_ROUNDS = 2;

  private static final long DISCOVERY_MARGIN_MICROS = 1_000_000;

  private final Settings settings;
  private int consecutiveRounds;

  /** Creates a detector for one term. */
  PartitionDetector(Settings settings) {
    this.settings = settings;
  }

  /**
   * Records the result of one round.
   *
   * @param sinceAuthorityMicros for how long this controller has responded to workers
   */
  void onRound(FleetHealth health, long sinceAuthorityMicros) {
    boolean partitioned =
        health.nearlyAllUnreachable() && sinceAuthorityMicros > leaderDiscoveryMicros();
    consecutiveRounds = partitioned ? consecutiveRounds + 1 : 0;
  }

  /**
   * True if hardly any of several workers is reachable; another controller may well reach them.
   *
   * <p>One round is not enough: a process that was suspended handles its backlog of heartbeats
   * before the next one.
   */
  boolean partitionedFromWorkers() {
    return consecutiveRounds >= MIN_CONSECUTIVE_ROUNDS;
  }

  /**
   * Returns the time within which workers find a new leader, including those that first try all
   * other controllers in vain.
   *
   * <p>Guards against the only leader outside a partitioned zone stepping down before its workers
   * have found it: when it did, no controller led for ten seconds, and nearly all leases expired.
   */
  private long leaderDiscoveryMicros() {
    return WorkerTiming.maxHeartbeatIntervalMicros(settings.workers())
        + settings.members().size() * WorkerTiming.CONTROLLER_RETRY_MICROS
        + DISCOVERY_MARGIN_MICROS;
  }
}
