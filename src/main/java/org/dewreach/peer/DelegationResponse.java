package org.dewreach.peer;

/**
 * The leader's response to a {@link DelegationRequest}.
 *
 * @param term the leader's term, or 0 if nothing is delegated
 * @param delegatedMicros for how long from this response on the follower may renew leases, once it
 *     has lost contact
 * @param timestampMicros when the leader responded, by its own clock; the next request echoes it
 */
public record DelegationResponse(long term, long delegatedMicros, long timestampMicros) {
  /**
   * Nothing is delegated: the responding controller does not lead, or the follower is not one of
   * its members.
   */
  public static final DelegationResponse REFUSED = new DelegationResponse(0, 0, 0);
}
