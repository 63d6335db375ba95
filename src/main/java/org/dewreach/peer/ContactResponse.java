package org.dewreach.peer;

/**
 * The answer to a {@link ContactRequest}.
 *
 * @param heard how many of the machines sent the answering controller a heartbeat in that time
 */
public record ContactResponse(int heard) {}
