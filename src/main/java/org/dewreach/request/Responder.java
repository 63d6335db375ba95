package org.dewreach.request;

import org.dewreach.wire.UserResponse;

/** Sends the response to a user's request, whichever controller received the request. */
@FunctionalInterface
public interface Responder {
  /** Sends the response; called once per request. */
  void respond(UserResponse response);

  /** Sends a response that asks the user to retry after one second, for the given reason. */
  default void respondRetry(RetryReason reason) {
    respond(UserResponse.unavailable(1));
  }
}
