package org.dewreach.controller;

import org.dewreach.request.Responder;
import org.dewreach.request.RetryReason;
import org.dewreach.wire.UserResponse;

/**
 * Relays a term's responses only while the term has authority; otherwise users are told to retry.
 *
 * <p>Guards against outdated responses of a term whose authority ran out while it worked on them.
 * Rejections too: what the term looked up and did not find, a later one may have imported.
 *
 * @param leadership tells who has authority
 * @param asked the term that handles the request
 * @param target where the response goes
 */
record AuthorityCheckedResponder(
    Leadership leadership, LeadershipTerm handlingTerm, Responder target) implements Responder {
  @Override
  public void respond(UserResponse response) {
    if (response.isServerError() || leadership.hasAuthorityIn(handlingTerm)) {
      target.respond(response);
    } else {
      target.respondRetry(RetryReason.NO_AUTHORITY);
    }
  }

  @Override
  public void respondRetry(RetryReason reason) {
    target.respondRetry(reason);
  }
}
