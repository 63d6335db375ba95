package org.dewreach.request;

import java.util.Locale;

/** The reasons for which users are told to retry, counted for operators. */
public enum RetryReason {
  /** More requests are in progress than the load limit allows. */
  LOAD_LIMIT,
  /** The term has lost its authority, or has not loaded the cluster state yet. */
  NO_AUTHORITY,
  /** The job is being accepted or imported. */
  BEING_ACCEPTED,
  /** A write of the job's final state may have been applied, but its outcome is not known. */
  END_IN_DOUBT,
  /** The response depends on a write, and writes are stalled. */
  WRITES_STALLED,
  /** The queue of writes is full. */
  WRITE_QUEUE_FULL,
  /** The tasks of a cancelled job may still run or start. */
  TASKS_NOT_GONE,
  /**
   * The rate limit for reading the key-value store, or for writing to it without a leader, is used
   * up.
   */
  STATE_RATE,
  /** A read from the key-value store failed. */
  READ_FAILED,
  /** The key-value store rejected a write, or did not confirm it. */
  WRITE_NOT_CONFIRMED,
  /** The machine type catalog is not known yet. */
  NO_CATALOG,
  /** Only a leader can handle the request, and none was reached. */
  NEEDS_LEADER,
  /** A record of the job could not be decoded. */
  RECORD_MALFORMED;

  /** Returns the reason's name in log lines and statistics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
