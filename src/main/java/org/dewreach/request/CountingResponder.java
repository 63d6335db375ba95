package org.dewreach.request;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An answer that counts why its user was told to come back.
 *
 * @param target where the answer goes
 */
record CountingResponder(Responder target, RetryCounts counts) implements Responder {
  @Override
  public void send(int status, JsonNode body, int retryAfterS) {
    target.send(status, body, retryAfterS);
  }

  @Override
  public void later(RetryReason reason) {
    counts.add(reason);
    target.later(reason);
  }
}
