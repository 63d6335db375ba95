package org.dewreach.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.wire.Codec;

/**
 * A follower asks the leader for how long it may renew the leases of its zone's workers, should it
 * lose contact.
 *
 * @param node the follower's name
 * @param uptimeMicros for how long its process has run
 * @param sinceRenewalMicros time since it last renewed a lease as a delegate, or {@link #NONE}
 * @param lastResponseMark the mark of the last response that it received from this leader, or
 *     {@link #NONE}: proof that it was in contact when that response was sent
 */
public record DelegationRequest(
    String node, long uptimeMicros, long sinceRenewalMicros, long lastResponseMark) {
  /** Where the leader takes such requests. */
  public static final String PATH = "/peer/stand-in";

  /** No renewal, or no response, so far. */
  public static final long NONE = -1;

  /** Reads the body of a request. */
  public static DelegationRequest parse(JsonNode body) {
    return new DelegationRequest(
        body.path("node").asText(),
        body.path("up").asLong(0),
        body.path("answered_ago").asLong(NONE),
        body.path("echo").asLong(NONE));
  }

  /** The body of the request. */
  public ObjectNode toNode() {
    return Codec.map()
        .put("node", node)
        .put("up", uptimeMicros)
        .put("answered_ago", sinceRenewalMicros)
        .put("echo", lastResponseMark);
  }
}
