package org.dewreach.peer;

/**
 * The response to a {@link GrantRequest}.
 *
 * @param granted true if the responding controller admits no later term while the grant lasts
 */
public record GrantResponse(boolean granted) {}
