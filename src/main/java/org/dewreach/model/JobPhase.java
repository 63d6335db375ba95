package org.dewreach.model;

/** The phases of a job in the leader's cluster state. */
public enum JobPhase {
  /**
   * The job's first record is being written. Its acceptance is not confirmed to the user yet, and
   * no task is started.
   */
  PERSISTING,
  /** The job is accepted, and its tasks are to run. */
  ACTIVE,
  /**
   * A user requested the cancellation: no task is started, and running ones are stopped. The
   * cancellation is written and confirmed once they are gone, or are certain to be gone in time.
   */
  CANCEL_REQUESTED,
  /** The cancellation is being written to the job's record. */
  CANCEL_COMMITTING,
  /** The cancellation is durable; tasks may still have to be stopped. */
  CANCELLED,
  /**
   * The final state is being written: all tasks are done, or the job is cancelled and no task is
   * left.
   */
  FINALIZING,
  /** The final state is durable. */
  ENDED
}
