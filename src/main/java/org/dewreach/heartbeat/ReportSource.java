package org.dewreach.heartbeat;

/** How a worker's state reached the leader. */
enum ReportSource {
  /** The worker reported by itself, and waits for the response. */
  HEARTBEAT,
  /**
   * The worker answered a direct command. Nothing goes back to it, and its lease is not renewed.
   * Such an answer may pass a heartbeat response that is still on its way to the worker.
   */
  DIRECT_REPLY
}
