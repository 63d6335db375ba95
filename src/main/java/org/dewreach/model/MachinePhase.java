package org.dewreach.model;

/** The phases of a machine in the leader's cluster state. */
public enum MachinePhase {
  /** The machine is rented and has never sent a heartbeat. */
  BOOTING,
  /**
   * An earlier leader registered the machine, and no heartbeat of it was received in this term: any
   * task may run on it.
   */
  UNKNOWN,
  /**
   * The machine sends heartbeats, but without this term's fencing token yet: the task list in them
   * may be outdated.
   */
  UNCONFIRMED,
  /**
   * The machine sends heartbeats with this term's fencing token: the task list in them is current.
   */
  UP,
  /**
   * The machine's lease has expired, which ended all tasks on it; the worker may return with a
   * later incarnation.
   */
  LOST,
  /**
   * The machine gets no new tasks. It is released once it is empty, unless the cloud reclaims it
   * first.
   */
  DRAINING,
  /** The machine's release was requested and is not confirmed yet. */
  TERMINATING,
  /** The machine is proven gone, with every task on it. */
  GONE
}
