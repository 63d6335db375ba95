package org.dewreach.heartbeat;

/** How a worker's report reached the leader. */
enum ReportSource {
  /** The worker sent a heartbeat and waits for the response. */
  HEARTBEAT,
  /**
   * The worker replied to a direct command. No response goes back to it, and its lease is not
   * renewed. Such a reply may overtake a heartbeat response that is still on its way to the worker.
   */
  DIRECT_REPLY
}
