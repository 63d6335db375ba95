package org.dewreach.controller;

/** The view that a term has of the election, and the ways in which the term can end itself. */
interface LeadershipControl {
  /** True if the term may act as leader at the given time. */
  boolean hasAuthority(long nowMicros);

  /** True while renewals of the leader lease fail, so that the key-value store may be out. */
  boolean isStoreSuspected();

  /**
   * Steps down, since a write found that another controller holds the leader key or that the key is
   * absent.
   */
  void onKeyLost();

  /** Hands over leadership to another controller, since no heartbeats reach this one. */
  void handOverLeadership();

  /** The time at which this controller last renewed a lease as a delegate, or a negative value. */
  long lastDelegateRenewalAt();
}
