package org.dewreach.model;

/**
 * The record that a worker keeps of an earlier run of an attempt, which has to be removed before
 * the worker starts the attempt again.
 */
public enum ExitedRecord {
  /** The worker keeps no record of an earlier run, as far as the leader has to know. */
  NONE,
  /** The worker keeps the record, and no command to remove it was sent. */
  KEPT,
  /** A command to remove the record was sent; a late copy of the start may begin the run. */
  REMOVAL_SENT
}
