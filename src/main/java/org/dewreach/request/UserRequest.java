package org.dewreach.request;

import com.fasterxml.jackson.databind.JsonNode;

/** A user's request, after routing. */
public sealed interface UserRequest {
  String jobId();

  /** POST /work; the body is judged where it is handled. */
  record Submit(String jobId, JsonNode body) implements UserRequest {}

  /** GET /work/{id}. */
  record Query(String jobId) implements UserRequest {}

  /** POST /work/{id}/abort. */
  record Cancel(String jobId) implements UserRequest {}
}
