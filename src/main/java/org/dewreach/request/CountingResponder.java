package org.dewreach.request;

import org.dewreach.wire.UserResponse;

/**
 * Passes responses on, and counts the reasons for which users are told to retry.
 *
 * @param target sends the response
 * @param counts the counts by reason
 */
record CountingResponder(Responder target, RetryCounts counts) implements Responder {
  @Override
  public void respond(UserResponse response) {
    target.respond(response);
  }

  @Override
  public void respondRetry(RetryReason reason) {
    counts.add(reason);
    target.respondRetry(reason);
  }
}
