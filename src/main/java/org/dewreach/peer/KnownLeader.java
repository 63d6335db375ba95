package org.dewreach.peer;

/**
 * The current leader according to one controller, as reported to other controllers.
 *
 * @param leader the leader's name, or null if the controller has no known leader
 * @param term the latest term that the controller has seen
 */
public record KnownLeader(String leader, long term) {}
