package org.dewreach.leadership;

/** The state of a controller in the leader election. */
public enum ElectionState {
  /** Reading and watching the leader key. */
  FOLLOWING,
  /**
   * The leader key is absent: waiting for a random delay so that not all controllers claim it at
   * once.
   */
  WAITING,
  /** Requesting a lease for the claim. */
  OPENING,
  /** Writing the leader key. */
  CLAIMING,
  /** The outcome of the claim is unknown: reading which controller holds the key. */
  VERIFYING,
  /** Holding the leader key. */
  LEADING
}
