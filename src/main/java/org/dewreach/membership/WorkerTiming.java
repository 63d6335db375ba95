package org.dewreach.membership;

import org.dewreach.config.Settings;

/** How long workers take at most for what they do by themselves, as their protocol has it. */
final class WorkerTiming {
  /** A worker pauses this long before it tries another controller. */
  static final long RETRY_PAUSE_MICROS = 1_000_000;

  /** What a worker spends on a controller that does not answer, with the pause before the next. */
  static final long CONTROLLER_RETRY_MICROS = 4_000_000 + RETRY_PAUSE_MICROS;

  /** Heartbeats come within this many quarters of their interval. */
  private static final int MAX_INTERVAL_QUARTERS = 5;

  private static final int QUARTERS = 4;

  private WorkerTiming() {}

  /** The longest time from one heartbeat of a worker to its next. */
  static long maxHeartbeatIntervalMicros(Settings.WorkerSettings settings) {
    return settings.heartbeatIntervalMicros() * MAX_INTERVAL_QUARTERS / QUARTERS;
  }
}
