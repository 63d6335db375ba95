package org.dewreach.peer;

/**
 * A request of a follower to the leader, for permission to renew the leases of the workers in its
 * zone for some time after it loses contact with the leader.
 *
 * @param node the follower's name
 * @param uptimeMicros for how long its process has run
 * @param sinceRenewalMicros time since it last renewed a lease as a delegate, or {@link
 *     #NOT_YET_OCCURRED}
 * @param echoedTimestampMicros the timestamp of the last response that it received from this
 *     leader, or {@link #NOT_YET_OCCURRED}; proves that it was in contact when that response was
 *     sent
 */
public record DelegationRequest(
    String node, long uptimeMicros, long sinceRenewalMicros, long echoedTimestampMicros) {
  /** The value for a renewal or a response that has not occurred yet. */
  public static final long NOT_YET_OCCURRED = -1;
}
