package org.dewreach.port;

/** The connections that a call is sent on: calls of one pool never queue behind the other's. */
public enum ConnectionPool {
  /** Everything that may wait: users' requests, the records, workers, the cloud. */
  GENERAL,

  /** What the lead depends on: its lease, the leader key and the other nodes' grants. */
  LEADERSHIP
}
