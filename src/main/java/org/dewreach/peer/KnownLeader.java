package org.dewreach.peer;

/**
 * Whom a node takes for the leader, as it tells other nodes that ask.
 *
 * @param leader the leader's name, or null if the node knows none
 * @param term the latest term that the node knows of
 */
public record KnownLeader(String leader, long term) {}
