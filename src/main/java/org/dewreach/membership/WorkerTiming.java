package org.dewreach.membership;

import org.dewreach.config.Settings;

/** Upper bounds on the durations of a worker's own actions, as specified by the worker protocol. */
final class WorkerTiming {
  /** The pause of a worker before it tries another controller. */
  static final long RETRY_PAUSE_MICROS = 1_000_000;

  /**
   * The time that a worker spends on a controller that does not respond: the response timeout of 4
   * s and the pause before the next controller.
   */
  static final long CONTROLLER_RETRY_MICROS = 4_000_000 + RETRY_PAUSE_MICROS;

  /** The longest interval between two heartbeats, in quarters of the configured interval. */
  private static final int MAX_INTERVAL_QUARTERS = 5;

  private static final int QUARTERS_PER_INTERVAL = 4;

  private WorkerTiming() {}

  /** Returns the longest time from one heartbeat of a worker to its next. */
  static long maxHeartbeatIntervalMicros(Settings.WorkerSettings settings) {
    return settings.heartbeatIntervalMicros() * MAX_INTERVAL_QUARTERS / QUARTERS_PER_INTERVAL;
  }
}
