package org.dewreach.leadership;

/** The bound on how far the clocks of two machines diverge. */
final class ClockDrift {
  /**
   * Each clock drifts by up to 0.05%, so two clocks diverge by up to 0.1%. Doubled as a margin,
   * this is one part in 500.
   */
  private static final long CLOCK_DRIFT_DIVISOR = 500;

  private ClockDrift() {}

  /** Returns the most by which two clocks may diverge over the given time. */
  static long maxOver(long micros) {
    return micros / CLOCK_DRIFT_DIVISOR;
  }
}
