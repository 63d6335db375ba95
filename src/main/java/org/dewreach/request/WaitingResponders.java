package org.dewreach.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dewreach.wire.UserResponse;

/** Responders that wait for the outcome of a write, by job id. */
final class WaitingResponders {
  private final Map<String, List<Responder>> waiting = new HashMap<>();

  void add(String jobId, Responder responder) {
    waiting.computeIfAbsent(jobId, id -> new ArrayList<>(1)).add(responder);
  }

  /** Removes and returns the responders of a job; an empty list if there is none. */
  List<Responder> remove(String jobId) {
    List<Responder> responders = waiting.remove(jobId);
    return responders == null ? List.of() : responders;
  }

  /** Sends the response to all users who wait for the job. */
  void respond(String jobId, UserResponse response) {
    remove(jobId).forEach(responder -> responder.respond(response));
  }

  /** Sends a retry response to all users who wait for the job. */
  void respondRetry(String jobId, RetryReason reason) {
    remove(jobId).forEach(responder -> responder.respondRetry(reason));
  }

  /** Sends a retry response to all users who wait for any job. */
  void respondRetryToAll(RetryReason reason) {
    List.copyOf(waiting.keySet()).forEach(jobId -> respondRetry(jobId, reason));
  }
}
