/**
 * Messages between controllers, encoded as MessagePack: requests that a follower forwards to the
 * leader, and the leader's replies.
 */
package org.dewreach.peer;
