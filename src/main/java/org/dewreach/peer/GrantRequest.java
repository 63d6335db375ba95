package org.dewreach.peer;

/**
 * Request of a leader whose lease renewals fail: asks another controller to let no later term act
 * for a while.
 *
 * @param term the term that the leader holds
 */
public record GrantRequest(long term) {}
