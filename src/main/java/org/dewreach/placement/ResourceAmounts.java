package org.dewreach.placement;

/** Compares amounts of CPU, memory and GPUs that are results of additions and subtractions. */
final class ResourceAmounts {
  /** Larger than the rounding errors of such amounts. */
  private static final double AMOUNT_TOLERANCE = 1e-9;

  private ResourceAmounts() {}

  /** True if the available amount is enough for the needed one, apart from rounding errors. */
  static boolean covers(double available, double needed) {
    return needed <= available + AMOUNT_TOLERANCE;
  }
}
