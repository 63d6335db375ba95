package org.dewreach.membership;

/**
 * The condition of one machine according to its heartbeats and its lease. Unlike {@link
 * org.dewreach.model.MachinePhase}, which is part of the cluster state, the condition is determined
 * again in each round.
 */
enum MachineCondition {
  /** Its heartbeats arrive, and it receives the responses. */
  RESPONSIVE,
  /** Its heartbeats arrive, but responses and commands do not reach it. */
  MISSES_RESPONSES,
  /** No heartbeat has arrived for far longer than the interval. */
  SILENT,
  /**
   * Its worker has restarted under the same name and lost its state, or is silent while that is
   * being checked.
   */
  RESTARTED,
  /** Rented, and still within its boot timeout. */
  BOOTING,
  /** Rented, and it has not come up within its boot timeout. */
  BOOT_TIMED_OUT,
  /** Its lease has expired, and it may still come back. */
  LOST,
  /** Its lease has expired, and it has not come back in time. */
  LOST_TIMED_OUT,
  /** It is being released, or is gone. */
  BEING_RELEASED
}
