package org.dewreach.membership;

import org.dewreach.config.Settings;

/** Tells whether it is this node that is cut off from the workers, rather than they being down. */
final class PartitionDetector {
  /** This many rounds in a row have to show a partition. */
  private static final int MIN_CONSECUTIVE_ROUNDS = 2;

  private static final long DISCOVERY_MARGIN_MICROS = 1_000_000;

  private final Settings settings;
  private int consecutiveRounds;

  /** A detector of one term. */
  PartitionDetector(Settings settings) {
    this.settings = settings;
  }

  /**
   * Takes in what one round found.
   *
   * @param authorityMicros for how long this node has answered workers
   */
  void onRound(FleetHealth health, long authorityMicros) {
    boolean partitioned =
        health.nearlyAllUnreachable() && authorityMicros > leaderDiscoveryMicros();
    consecutiveRounds = partitioned ? consecutiveRounds + 1 : 0;
  }

  /**
   * True if hardly any of several workers is heard, or takes answers; another node may well have
   * them.
   *
   * <p>Twice in a row: a process that was held up sees its backlog of heartbeats in between.
   */
  boolean partitionedFromWorkers() {
    return consecutiveRounds >= MIN_CONSECUTIVE_ROUNDS;
  }

  /**
   * Workers find a new leader within this time, also those that have to try all other nodes in
   * vain.
   *
   * <p>Guards against the only leader outside a cut zone that gives up before its workers have
   * found it: nobody led for ten seconds then, and nearly all leases ran out.
   */
  private long leaderDiscoveryMicros() {
    return WorkerTiming.maxHeartbeatIntervalMicros(settings.workers())
        + settings.members().size() * WorkerTiming.CONTROLLER_RETRY_MICROS
        + DISCOVERY_MARGIN_MICROS;
  }
}
