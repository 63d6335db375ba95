package org.dewreach.model;

/** The state of a start command that was sent directly to the worker. */
public enum DirectStart {
  /** No direct start was sent. */
  NONE,
  /** It was sent, and no reply has arrived yet. */
  SENT,
  /** The worker replied, so its heartbeats show whether it has the task. */
  ANSWERED,
  /** No reply arrived. The worker may still execute the command minutes later. */
  LOST
}
