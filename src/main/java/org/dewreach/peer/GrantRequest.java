package org.dewreach.peer;

/**
 * A request of a leader whose lease renewals fail: asks another controller to admit no later term
 * for the duration of a grant.
 *
 * @param term the term that the leader holds
 */
public record GrantRequest(long term) {}
