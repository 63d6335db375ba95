package org.dewreach.peer;

/**
 * The response to a {@link ContactRequest}.
 *
 * @param reachableMachines how many of the machines sent the responding controller a heartbeat
 *     within the requested time
 */
public record ContactResponse(int reachableMachines) {}
