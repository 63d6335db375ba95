package org.dewreach.model;

/** Whether a machine's worker may have restarted with the same name and an old count. */
public enum RestartCheck {
  /** Nothing points to it. */
  NONE,
  /** A heartbeat came that is either a late copy of its first or the first of a new worker. */
  CHECKING,
  /** The machine itself has shown a lower count than before. */
  CONFIRMED
}
