package org.dewreach.leadership;

/** How far the clocks of two machines may run apart. */
final class ClockDrift {
  /** Each clock drifts by up to 0.05%; two of them, doubled, are one part in this many. */
  private static final long DIVISOR = 500;

  private ClockDrift() {}

  /** The most by which two clocks may differ after the given time. */
  static long maxOver(long micros) {
    return micros / DIVISOR;
  }
}
