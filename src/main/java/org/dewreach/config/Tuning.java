package org.dewreach.config;

import java.util.Map;

/**
 * The starting values that are ours to choose, which operators may change by a script.
 *
 * <p>None of them can break a rule: they say how much is rented and kept, and how soon a job
 * class's tasks are to start, never what may run where.
 *
 * @param idleTimeoutMicros how long a machine without tasks is kept
 * @param minRentalMicros age before which returning a machine saves nothing
 * @param backlogHorizonMicros horizon in which waiting work without a deadline is to be worked off
 * @param maxSpotWaitMicros wait that is long for work that may run on spot machines
 * @param maxMigrationShare share of the replicas' time that moving them may take
 * @param headroomDeviations room kept for services, in roots of the arrivals expected
 * @param startWithinMicros per job class, how soon its tasks are to start; overrides the settings'
 *     aims
 */
public record Tuning(
    long idleTimeoutMicros,
    long minRentalMicros,
    long backlogHorizonMicros,
    long maxSpotWaitMicros,
    double maxMigrationShare,
    double headroomDeviations,
    Map<String, Long> startWithinMicros) {

  /** The values without a script. */
  public static final Tuning DEFAULT =
      new Tuning(
          Defaults.IDLE_TIMEOUT_MICROS,
          Defaults.MIN_RENTAL_MICROS,
          Defaults.BACKLOG_HORIZON_MICROS,
          Defaults.MAX_SPOT_WAIT_MICROS,
          Defaults.MAX_MIGRATION_SHARE,
          Defaults.HEADROOM_DEVIATIONS,
          Map.of());

  /** The values of {@link #DEFAULT}. */
  private static final class Defaults {
    static final long IDLE_TIMEOUT_MICROS = 25_000_000;
    static final long MIN_RENTAL_MICROS = 58_000_000;
    static final long BACKLOG_HORIZON_MICROS = 60_000_000;
    static final long MAX_SPOT_WAIT_MICROS = 60_000_000;
    static final double MAX_MIGRATION_SHARE = 0.002;
    static final double HEADROOM_DEVIATIONS = 1.5;
  }
}
