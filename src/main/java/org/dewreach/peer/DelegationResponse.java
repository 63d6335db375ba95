package org.dewreach.peer;

/**
 * The leader's answer to a {@link DelegationRequest}.
 *
 * @param term the leader's term, or 0 if nothing is delegated
 * @param delegatedMicros for how long the follower may renew leases after it lost contact
 * @param timestampMicros the leader's time of answering, which the next request repeats
 */
public record DelegationResponse(long term, long delegatedMicros, long timestampMicros) {
  /** Nothing is delegated: the answering node does not lead, or does not know the follower. */
  public static final DelegationResponse REFUSED = new DelegationResponse(0, 0, 0);
}
