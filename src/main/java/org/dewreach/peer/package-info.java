/**
 * Messages between controllers: users' requests that a follower forwards to the leader, grants and
 * delegations of leadership, and whom a node takes for the leader.
 *
 * <p>{@code PeerMessageCodec} alone knows their paths and fields; {@code MessagePackCodec} turns
 * bodies into trees. Uses {@code wire} only. Nothing here decides or sends anything.
 */
package org.dewreach.peer;
