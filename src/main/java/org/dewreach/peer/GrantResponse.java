package org.dewreach.peer;

/**
 * The response to a {@link GrantRequest}.
 *
 * @param granted true if the responding controller lets no later term act while the grant lasts
 */
public record GrantResponse(boolean granted) {}
