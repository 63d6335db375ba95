package org.dewreach.model;

/**
 * Whether a machine's worker may have restarted under the same name with an older incarnation or
 * sequence number, and so lost its state.
 */
public enum RestartCheck {
  /** There is no sign of a restart. */
  NONE,
  /**
   * A heartbeat arrived that is either a late copy of the worker's first heartbeat or the first one
   * after a restart.
   */
  CHECKING,
  /**
   * The worker itself, when queried, reported an older incarnation or sequence number than before.
   */
  CONFIRMED
}
