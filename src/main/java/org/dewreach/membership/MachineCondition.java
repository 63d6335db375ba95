package org.dewreach.membership;

/** What heartbeats and leases say about one machine. */
enum MachineCondition {
  /** Its heartbeats arrive, and the answers to them arrive there. */
  RESPONSIVE,
  /** Its heartbeats arrive, but answers and commands do not reach it. */
  MISSES_REPLIES,
  /** No heartbeat has come for far longer than the interval. */
  SILENT,
  /** Its worker has restarted with an old incarnation, or is silent while that is being checked. */
  RESTARTED,
  /** Rented, and still given time to come up. */
  BOOTING,
  /** Rented, and it has not come up in time. */
  BOOT_TIMED_OUT,
  /** Its lease is over, and it may still come back. */
  LOST,
  /** Its lease is over, and it has not come back in time. */
  LOST_TIMED_OUT,
  /** It is being released already. */
  BEING_RELEASED
}
