package org.dewreach.model;

/** Named states of a task that is bound to a machine. Unbound tasks need no record. */
public enum TaskPhase {
  /** Bound in the leader's cluster state; no start was sent yet. */
  ASSIGNED,
  /** A start was sent; no heartbeat shows the task yet. */
  STARTING,
  /** The machine fetches the image. */
  PULLING,
  /** The task runs. */
  RUNNING,
  /** The task is to be stopped, or saves because it was told to stop. */
  STOPPING,
  /** Proven gone from the machine; the record is dropped. */
  GONE
}
