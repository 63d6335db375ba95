package org.dewreach.heartbeat;

/** What a heartbeat proves about the present state of its machine. */
enum ReportFreshness {
  /**
   * It shows the present state: the worker has seen the fencing token of this term, or was never
   * commanded before, so that no command of an earlier term can still change what it shows.
   */
  CURRENT,
  /**
   * It may be a late copy, from seconds to minutes old, of a machine that is gone or does other
   * things now. Nothing is concluded from it but what holds for ever: a task has completed, an
   * earlier incarnation is over.
   */
  POSSIBLY_STALE
}
