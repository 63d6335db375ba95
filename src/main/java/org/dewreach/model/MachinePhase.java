package org.dewreach.model;

/** Named states of a machine in the leader's cluster state. */
public enum MachinePhase {
  /** Rented; it has never reported. */
  BOOTING,
  /** Recorded by an earlier leader and not heard of under this term: anything may run there. */
  UNKNOWN,
  /** It reports, but saw our token only with the last answer: its task list may be outdated. */
  UNCONFIRMED,
  /** It reports under our term: its task list is the truth. */
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
