package org.dewreach.controller;

/** What a term needs to know of the election, and how it ends itself. */
interface LeadershipControl {
  /** True if the term may act as leader at the given time. */
  boolean hasAuthority(long nowMicros);

  /** A write found that another node holds the leader key, or that the key is gone. */
  void onKeyLost();

  /** Gives up the lead, as no heartbeats reach this node. */
  void handOverLeadership();

  /** When this node last renewed a lease as a delegate, or a negative time. */
  long lastRenewalAt();
}
