package org.dewreach.request;

import org.dewreach.wire.UserResponse;

/** Where the response to a user's request goes, whichever node received the request. */
@FunctionalInterface
public interface Responder {
  /** Sends the response; called once per request. */
  void respond(UserResponse response);

  /** Tells the user to retry in a second, for the given reason. */
  default void respondRetry(RetryReason reason) {
    respond(UserResponse.unavailable(1));
  }
}
