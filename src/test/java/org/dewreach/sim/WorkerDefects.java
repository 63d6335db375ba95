package org.dewreach.sim;

/** Defects that no worker has; the checker has to find what follows from them. */
final class WorkerDefects {
  /** Heartbeats do not tell of running tasks. */
  boolean omitsRunningTasks;

  /** Commands to stop a task are not carried out. */
  boolean ignoresStops;

  /** Tasks that ended are reported as completed although they did nothing. */
  boolean reportsFalseCompletion;

  /** A task that was stopped before it began begins nevertheless. */
  boolean startsStoppedTasks;
}
