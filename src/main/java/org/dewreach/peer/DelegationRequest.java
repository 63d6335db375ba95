package org.dewreach.peer;

/**
 * A follower asks the leader for how long it may renew the leases of its zone's workers, should it
 * lose contact.
 *
 * @param node the follower's name
 * @param uptimeMicros for how long its process has run
 * @param sinceRenewalMicros time since it last renewed a lease as a delegate, or {@link #NONE}
 * @param echoedTimestampMicros the timestamp of the last response that it received from this
 *     leader, or {@link #NONE}: proof that it was in contact when that response was sent
 */
public record DelegationRequest(
    String node, long uptimeMicros, long sinceRenewalMicros, long echoedTimestampMicros) {
  /** No renewal, or no response, so far. */
  public static final long NONE = -1;
}
