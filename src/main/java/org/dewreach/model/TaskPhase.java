package org.dewreach.model;

/** The phases of a task that is bound to a machine. There are no objects for unbound tasks. */
public enum TaskPhase {
  /** The task is bound in the leader's cluster state, and no start was sent yet. */
  ASSIGNED,
  /** A start was sent, and no heartbeat shows the task yet. */
  STARTING,
  /** The machine fetches the task's image. */
  PULLING,
  /** The task is running. */
  RUNNING,
  /** The task is to be stopped, or is saving its progress after a stop command. */
  STOPPING,
  /** The task is proven gone from the machine and is no longer tracked. */
  GONE
}
