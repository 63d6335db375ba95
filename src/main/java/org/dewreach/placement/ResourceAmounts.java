package org.dewreach.placement;

/** Comparison of amounts of CPU, memory and GPUs that are sums and differences of others. */
final class ResourceAmounts {
  /** Rounding errors of such amounts are smaller. */
  private static final double TOLERANCE = 1e-9;

  private ResourceAmounts() {}

  /** True if the amount that is there is enough for what is needed. */
  static boolean covers(double available, double needed) {
    return needed <= available + TOLERANCE;
  }
}
