package org.dewreach.peer;

/**
 * The leader's response to a {@link DelegationRequest}.
 *
 * @param term the leader's term, or 0 if nothing is delegated
 * @param delegatedMicros for how long the follower may renew leases once it has lost contact; the
 *     leader counts from its response, and the follower from its earlier request
 * @param timestampMicros when the leader responded, by its own clock; the next request echoes it
 */
public record DelegationResponse(long term, long delegatedMicros, long timestampMicros) {
  /**
   * Nothing is delegated: the responding controller does not lead, or the follower is not one of
   * its members.
   */
  public static final DelegationResponse REFUSED = new DelegationResponse(0, 0, 0);
}
