package org.dewreach.peer;

/**
 * The answer to a {@link ContactRequest}.
 *
 * @param reachableMachines how many of the machines sent the answering controller a heartbeat in
 *     that time
 */
public record ContactResponse(int reachableMachines) {}
