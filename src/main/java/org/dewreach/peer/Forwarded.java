package org.dewreach.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.wire.HttpStatus;

/** A user's request that a follower passes to the leader, and the leader's answer. */
public final class Forwarded {
  /** Where the leader takes forwarded requests. */
  public static final String PATH = "/peer/user";

  /** Where a node tells whom it takes for the leader. */
  public static final String LEADER_PATH = "/peer/leader";

  private Forwarded() {}

  /** The request as the follower passes it on. */
  public static ObjectNode request(String method, String path, JsonNode body) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("method", method).put("path", path);
    node.set("body", body);
    return node;
  }

  /** The leader leads, and turns the request away because it has too many. */
  public static ObjectNode busy() {
    return answer(HttpStatus.UNAVAILABLE, null, 0).put("busy", true);
  }

  /** True if the answer is {@link #busy}. */
  public static boolean isBusy(JsonNode answer) {
    return answer != null && answer.path("busy").asBoolean(false);
  }

  /** The node does not lead, or not yet, or no more. */
  public static ObjectNode notLeading() {
    return answer(HttpStatus.UNAVAILABLE, null, 1).put("leads", false);
  }

  /** True if the answer is {@link #notLeading}. */
  public static boolean isNotLeading(JsonNode answer) {
    return answer != null && !answer.path("leads").asBoolean(true);
  }

  /** The answer that the follower gives its user. */
  public static ObjectNode answer(int status, JsonNode body, int retryAfterS) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("status", status).put("retry", retryAfterS);
    node.set("body", body);
    return node;
  }
}
