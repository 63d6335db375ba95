package org.dewreach.model;

/** Named states of a job in the leader's cluster state. */
public enum JobPhase {
  /** Its record is being written; the user has no answer yet and nothing is started. */
  ACCEPTING,
  /** Accepted: its tasks are to run. */
  LIVE,
  /**
   * Its user asked to withdraw it: nothing is started and its tasks are stopped. It is told and
   * written once these are gone, or are sure to be gone in time.
   */
  HALTING,
  /** To be withdrawn; the record is being written. */
  WITHDRAWING,
  /** Withdrawn durably; tasks may still have to be stopped. */
  WITHDRAWN,
  /** All tasks are done; the final state is being written. */
  FINISHING,
  /** Final state durable. */
  OVER
}
