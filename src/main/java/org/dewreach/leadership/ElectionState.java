package org.dewreach.leadership;

/** What a controller is in the election. */
public enum ElectionState {
  /** Learning who leads. */
  FOLLOWING,
  /** The key is absent: waiting a moment so that not all nodes claim it at once. */
  WAITING,
  /** Opening a lease for the claim. */
  OPENING,
  /** Writing the leader key. */
  CLAIMING,
  /** The claim had no clear answer: reading who holds the key. */
  VERIFYING,
  /** Holding the key. */
  LEADING
}
