package org.dewreach.request;

import org.dewreach.wire.UserResponse;

/**
 * Counts why users are told to retry.
 *
 * @param target where the response goes
 * @param counts where the reason is counted
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
