package org.dewreach.heartbeat;

/** Whether a report shows the current state of its machine. */
enum ReportFreshness {
  /**
   * The report shows the current state: the worker has seen the fencing token of this term, or
   * never received a command, so no command of an earlier term can still change what the report
   * shows.
   */
  CURRENT,
  /**
   * The report may be a late copy, from seconds to minutes old, of a machine that is gone or has
   * changed since. Only permanent facts are concluded from it: a task has completed, an earlier
   * incarnation has ended.
   */
  POSSIBLY_STALE
}
