package org.dewreach.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.wire.Codec;

/**
 * The leader's answer to a {@link DelegationRequest}.
 *
 * @param term the leader's term, or 0 if nothing is delegated
 * @param delegatedMicros for how long the follower may renew leases after it lost contact
 * @param mark the leader's time of answering, which the next request repeats
 */
public record DelegationResponse(long term, long delegatedMicros, long mark) {
  /** Nothing is delegated: the answering node does not lead, or does not know the follower. */
  public static final DelegationResponse REFUSED = new DelegationResponse(0, 0, 0);

  /** Reads the body of a response; missing numbers are 0. */
  public static DelegationResponse parse(JsonNode body) {
    return new DelegationResponse(
        body.path("term").asLong(), body.path("lent").asLong(), body.path("at").asLong());
  }

  /** The body of the response; a refusal has the term 0 alone. */
  public ObjectNode toNode() {
    ObjectNode node = Codec.map().put("term", term);
    return term == 0 ? node : node.put("lent", delegatedMicros).put("at", mark);
  }
}
