package org.dewreach.request;

import java.util.Locale;

/** Why a user was told to retry, counted for operators. */
public enum RetryReason {
  /** More requests are in progress than the load limit allows. */
  LOAD_LIMIT,
  /** The term's authority ended, or it has not loaded the cluster state yet. */
  NO_AUTHORITY,
  /** The job is being accepted or imported. */
  BEING_ACCEPTED,
  /** A write that ends the job may be applied without our knowing. */
  END_IN_DOUBT,
  /** The response waits for a write, and writes do not get through. */
  WRITES_STALLED,
  /** The queue of writes is full. */
  WRITE_QUEUE_FULL,
  /** The tasks of a cancelled job may still run or start. */
  TASKS_NOT_GONE,
  /** The rate for reading the key-value store, or for writing without a leader, is used up. */
  STATE_RATE,
  /** The key-value store did not answer a read. */
  READ_FAILED,
  /** The key-value store did not confirm a write. */
  WRITE_NOT_CONFIRMED,
  /** The machine types are not known yet. */
  NO_CATALOG,
  /** Only a leader can do this, and none was reached. */
  NEEDS_LEADER,
  /** A record of the job could not be read. */
  RECORD_MALFORMED;

  /** The reason's name in the log and in the stats. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
