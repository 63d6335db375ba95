package org.dewreach.peer;

import org.dewreach.wire.UserResponse;

/** The outcome of a {@link ForwardedRequest}. */
public sealed interface ForwardedReply {
  /** The leader handled the request; the follower relays the response to its user. */
  record Handled(UserResponse response) implements ForwardedReply {}

  /** The controller leads, but sheds the request because too many are in progress. */
  record Busy() implements ForwardedReply {}

  /** The controller does not lead, does not lead yet, or no longer leads. */
  record NotLeading() implements ForwardedReply {}

  /**
   * The controller did not reply, or its reply was not as expected; this outcome is never encoded.
   */
  record NoReply() implements ForwardedReply {}
}
