package org.dewreach.config;

import java.util.Map;

/**
 * The starting values that are ours to choose, which operators may change by a script.
 *
 * <p>None of them can break a rule: they say how much is rented and kept, and how soon a job
 * class's tasks are to start, never what may run where.
 *
 * @param idleKeptMicros how long a machine without tasks is kept
 * @param leastPaidMicros age before which returning a machine saves nothing
 * @param workOffMicros horizon in which waiting work without a deadline is to be worked off
 * @param longWaitMicros wait that is long for work that may run on spot machines
 * @param movedShare share of the replicas' time that moving them may take
 * @param headroomSpreads room kept for services, in roots of the arrivals expected
 * @param startWithinMicros per job class, how soon its tasks are to start; overrides the settings'
 *     aims
 */
public record Tuning(
    long idleKeptMicros,
    long leastPaidMicros,
    long workOffMicros,
    long longWaitMicros,
    double movedShare,
    double headroomSpreads,
    Map<String, Long> startWithinMicros) {

  /** The values without a script. */
  public static final Tuning DEFAULT =
      new Tuning(
          Defaults.IDLE_KEPT_MICROS,
          Defaults.MIN_PAID_MICROS,
          Defaults.WORK_OFF_MICROS,
          Defaults.LONG_WAIT_MICROS,
          Defaults.MOVED_SHARE,
          Defaults.HEADROOM_SPREADS,
          Map.of());

  /** The values of {@link #DEFAULT}. */
  private static final class Defaults {
    static final long IDLE_KEPT_MICROS = 25_000_000;
    static final long MIN_PAID_MICROS = 58_000_000;
    static final long WORK_OFF_MICROS = 60_000_000;
    static final long LONG_WAIT_MICROS = 60_000_000;
    static final double MOVED_SHARE = 0.002;
    static final double HEADROOM_SPREADS = 1.5;
  }
}
