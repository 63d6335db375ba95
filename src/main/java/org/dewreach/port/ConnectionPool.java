package org.dewreach.port;

/** The pool of connections that sends a call; calls never wait for calls of another pool. */
public enum ConnectionPool {
  /** Calls that may wait: users' requests, stored records, workers and the cloud. */
  GENERAL,

  /** Calls that leadership depends on: the leader lease, the leader key and followers' grants. */
  LEADERSHIP
}
