package org.dewreach.model;

/** What is known of a start that was sent to the worker directly. */
public enum DirectStart {
  /** None was sent. */
  NONE,
  /** Sent; no answer yet. */
  SENT,
  /** The worker answered: its heartbeat shows whether the task is there. */
  ANSWERED,
  /** No answer came: the worker may still carry it out, minutes later. */
  LOST
}
