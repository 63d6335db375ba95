package org.dewreach.peer;

/**
 * The answer to a {@link GrantRequest}.
 *
 * @param granted true if no later term acts at the answering controller while the grant runs
 */
public record GrantResponse(boolean granted) {}
