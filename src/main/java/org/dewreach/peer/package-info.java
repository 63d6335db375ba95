/**
 * Messages between controllers: users' requests that a follower forwards to the leader, requests
 * for grants and delegations, and reports of the known leader and of worker contacts.
 *
 * <p>{@code PeerMessageCodec} alone defines their paths and fields; {@code MessagePackCodec}
 * converts bodies to trees. Uses {@code wire} only. This package only encodes and decodes; it makes
 * no decisions and sends nothing.
 */
package org.dewreach.peer;
