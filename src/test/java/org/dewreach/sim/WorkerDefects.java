package org.dewreach.sim;

/** Defects that no correct worker has, to test that the checker finds their consequences. */
final class WorkerDefects {
  /** True if heartbeats omit running tasks. */
  boolean omitsRunningTasks;

  /** True if commands to stop a task are not executed. */
  boolean ignoresStops;

  /** True if tasks that exit are reported as completed although they did not complete. */
  boolean reportsFalseCompletion;

  /** True if a task that was stopped before its process started runs nevertheless. */
  boolean startsStoppedTasks;
}
