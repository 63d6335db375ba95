package org.dewreach.model;

/** Named states of a machine in the leader's cluster state. */
public enum MachinePhase {
  /** Rented; it has never sent a heartbeat. */
  BOOTING,
  /** Recorded by an earlier leader and not heard of under this term: anything may run there. */
  UNKNOWN,
  /** It sends heartbeats, but without this term's token yet: its task list may be outdated. */
  UNCONFIRMED,
  /** It sends heartbeats with this term's token: its task list is current. */
  UP,
  /** Its lease is over, and all that ran there with it; it may come back in a later incarnation. */
  LOST,
  /** No new tasks; it is returned once it is empty, or taken away. */
  DRAINING,
  /** Its return was asked for and is not confirmed. */
  TERMINATING,
  /** Gone for sure, with everything on it. */
  GONE
}
