package org.dewreach.config;

import java.util.Map;

/**
 * Parameters of autoscaling and scheduling that operators may change with a script.
 *
 * <p>None of them can violate a scheduling constraint: they determine how much capacity is rented
 * and kept, and how soon the tasks of a job class should start, but not which tasks may run where.
 *
 * @param idleTimeoutMicros how long a machine without tasks is kept before it is released
 * @param minRentalMicros the age before which releasing a machine saves nothing
 * @param backlogHorizonMicros the time within which pending work without a completion target should
 *     complete
 * @param maxSpotWaitMicros the expected wait above which work that may run on spot machines is also
 *     given on-demand machines
 * @param maxMigrationShare the share of service replicas' running time that their migrations may
 *     take, at one second for a migration
 * @param headroomDeviations capacity kept free for new services, in standard deviations (square
 *     roots) of the number of expected arrivals
 * @param startWithinMicros per job class, how soon its tasks should start; overrides the objectives
 *     of the settings
 */
public record Tuning(
    long idleTimeoutMicros,
    long minRentalMicros,
    long backlogHorizonMicros,
    long maxSpotWaitMicros,
    double maxMigrationShare,
    double headroomDeviations,
    Map<String, Long> startWithinMicros) {

  /** The values that apply without a script. */
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
