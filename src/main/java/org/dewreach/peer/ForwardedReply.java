package org.dewreach.peer;

import org.dewreach.wire.UserResponse;

/** The outcome of a {@link ForwardedRequest}. */
public sealed interface ForwardedReply {
  /** The leader handled the request; the follower relays the response to its user. */
  record Handled(UserResponse response) implements ForwardedReply {}

  /** The node leads, and turns the request away because it has too many. */
  record Busy() implements ForwardedReply {}

  /** The node does not lead, or not yet, or no more. */
  record NotLeading() implements ForwardedReply {}

  /** The node did not reply, or not as expected; it is never encoded. */
  record NoReply() implements ForwardedReply {}
}
