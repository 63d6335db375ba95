package org.dewreach.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.dewreach.wire.Codec;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.UserResponse;
import org.dewreach.wire.UserResponseCodec;

/** Paths and field names of the messages between controllers. */
public final class PeerMessageCodec {
  /** Where the leader takes forwarded requests. */
  public static final String FORWARD_PATH = "/peer/user";

  /** Where a node tells whom it takes for the leader. */
  public static final String LEADER_PATH = "/peer/leader";

  private PeerMessageCodec() {}

  /** Encodes a user's request. */
  public static ObjectNode encode(ForwardedRequest request) {
    ObjectNode map = Codec.map().put("method", request.method()).put("path", request.path());
    map.set("body", request.body());
    return map;
  }

  /** Decodes a user's request; absent fields are empty texts, which name no request. */
  public static ForwardedRequest decodeRequest(JsonNode body) {
    return new ForwardedRequest(
        body.path("method").asText(), body.path("path").asText(), body.get("body"));
  }

  /** Encodes the outcome of a forwarded request. */
  public static ObjectNode encode(ForwardedReply reply) {
    if (reply instanceof ForwardedReply.Handled handled) {
      return encode(handled.response());
    }
    if (reply instanceof ForwardedReply.Busy) {
      return encode(UserResponse.unavailable(0)).put("busy", true);
    }
    return encode(UserResponse.unavailable(1)).put("leads", false);
  }

  private static ObjectNode encode(UserResponse response) {
    ObjectNode map = Codec.map();
    map.put("status", response.status()).put("retry", response.retryAfterSeconds());
    map.set("body", UserResponseCodec.encode(response.body()));
    return map;
  }

  /**
   * Decodes the outcome of a forwarded request.
   *
   * @param httpStatus the status of the call, or 0 if no response came
   * @param body the body of the call's response, or null
   */
  public static ForwardedReply decodeReply(int httpStatus, JsonNode body) {
    if (httpStatus != HttpStatus.OK) {
      return new ForwardedReply.NoReply();
    }
    if (body == null) {
      return new ForwardedReply.Handled(UserResponse.unavailable(0));
    }
    if (body.path("busy").asBoolean(false)) {
      return new ForwardedReply.Busy();
    }
    int status = body.path("status").asInt(HttpStatus.UNAVAILABLE);
    if (status == HttpStatus.UNAVAILABLE && !body.path("leads").asBoolean(true)) {
      return new ForwardedReply.NotLeading();
    }
    JsonNode inner = body.get("body");
    boolean empty = inner == null || inner.isNull();
    return new ForwardedReply.Handled(
        new UserResponse(
            status, empty ? null : new UserResponse.Relayed(inner), body.path("retry").asInt(0)));
  }

  /** Encodes whom a node takes for the leader. */
  public static ObjectNode encode(KnownLeader known) {
    return Codec.map().put("leader", known.leader()).put("term", known.term());
  }

  /**
   * Decodes whom a node takes for the leader; empty if it knows none or did not reply.
   *
   * @param httpStatus the status of the call, or 0 if no response came
   * @param body the body of the call's response, or null
   */
  public static Optional<KnownLeader> decodeKnownLeader(int httpStatus, JsonNode body) {
    if (httpStatus != HttpStatus.OK || body == null || !body.path("leader").isTextual()) {
      return Optional.empty();
    }
    return Optional.of(
        new KnownLeader(body.path("leader").textValue(), body.path("term").asLong(0)));
  }
}
