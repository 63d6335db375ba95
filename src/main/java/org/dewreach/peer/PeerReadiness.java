package org.dewreach.peer;

/**
 * What a controller reports to the others about its ability to answer users.
 *
 * @param leads true if it leads with authority and has loaded the cluster state
 * @param serves true if it can answer users, by itself or through the leader
 */
public record PeerReadiness(boolean leads, boolean serves) {}
