package org.dewreach.scheduling;

import org.dewreach.model.Job;

/**
 * Decides when machines may be rented for jobs that fail repeatedly.
 *
 * <p>Such a job fails everywhere, or it has met faulty machines. In the first case rented machines
 * are wasted; in the second the job would wait forever once no machine is left that may run it. So
 * such jobs are given capacity together, for one task each, and rarely.
 */
final class RepeatedFailureCapacity {
  /** No machine is rented for a job before it has found none for this long. */
  private static final long MIN_WAIT_MICROS = 15_000_000;

  /** Capacity is requested for this long, which is enough for a rental that is refused at first. */
  private static final long REQUEST_MICROS = 20_000_000;

  /** The time between the beginnings of two requests. */
  private static final long REQUEST_INTERVAL_MICROS = 180_000_000;

  private long requestedAt = -REQUEST_INTERVAL_MICROS;

  /**
   * Returns for how many tasks of a job that fails repeatedly capacity is requested now.
   *
   * @param placed the number of tasks that could be placed
   */
  int tasksToRequest(Job job, int placed, long nowMicros) {
    if (placed > 0) {
      job.backoff().recordPlaced();
      return 0;
    }
    if (job.backoff().waitedMicros(nowMicros) < MIN_WAIT_MICROS) {
      return 0;
    }
    if (nowMicros - requestedAt >= REQUEST_INTERVAL_MICROS) {
      requestedAt = nowMicros;
    }
    return nowMicros - requestedAt < REQUEST_MICROS ? 1 : 0;
  }
}
