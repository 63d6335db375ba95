package org.dewreach.model;

/** Named states of a job in the leader's cluster state. */
public enum JobPhase {
  /** Its record is being written; the user has no answer yet and nothing is started. */
  PERSISTING,
  /** Accepted: its tasks are to run. */
  ACTIVE,
  /**
   * Its user asked to cancel it: nothing is started and its tasks are stopped. The cancellation is
   * written and confirmed once these are gone, or are sure to be gone in time.
   */
  CANCEL_REQUESTED,
  /** To be cancelled; the record is being written. */
  CANCEL_COMMITTING,
  /** Cancelled durably; tasks may still have to be stopped. */
  CANCELLED,
  /** All tasks are done; the final state is being written. */
  FINALIZING,
  /** Final state durable. */
  ENDED
}
