package org.dewreach.controller;

import org.dewreach.request.Responder;
import org.dewreach.request.RetryReason;
import org.dewreach.wire.UserResponse;

/**
 * Forwards a term's responses only while the term has authority, except for server errors, which
 * are always forwarded. Otherwise the user is told to retry.
 *
 * <p>Guards against outdated responses of a term whose authority expired while it handled the
 * request. This includes rejections: a job that the term looked up and did not find may have been
 * imported by a later term.
 *
 * @param leadership determines whether the term has authority
 * @param handlingTerm the term that handles the request
 * @param target receives the response
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
