package org.dewreach.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dewreach.wire.Codec;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.JobState;
import org.dewreach.wire.MalformedException;
import org.dewreach.wire.UserResponse;
import org.dewreach.wire.UserResponseCodec;

/** Paths and field names of the messages between controllers. */
public final class PeerMessageCodec {
  /** The path at which the leader accepts forwarded requests. */
  public static final String FORWARD_PATH = "/peer/user";

  /** The path at which a controller reports its known leader. */
  public static final String LEADER_PATH = "/peer/leader";

  /** The path at which a controller reports whether it can answer users. */
  public static final String READINESS_PATH = "/peer/readiness";

  /** The path at which a controller accepts requests for grants. */
  public static final String GRANT_PATH = "/peer/promise";

  /** The path at which the leader accepts requests for delegations. */
  public static final String DELEGATION_PATH = "/peer/stand-in";

  /** The path at which a controller reports how many of the named workers send heartbeats to it. */
  public static final String CONTACTS_PATH = "/peer/contacts";

  /** The path at which a controller reports what it knows about a job. */
  public static final String JOB_PATH = "/peer/job";

  private PeerMessageCodec() {}

  /** Encodes a user's request. */
  public static ObjectNode encode(ForwardedRequest request) {
    ObjectNode map = Codec.map().put("method", request.method()).put("path", request.path());
    map.set("body", request.body());
    return map;
  }

  /** Decodes a user's request; missing fields become empty texts, which match no request. */
  public static ForwardedRequest decodeForwardedRequest(JsonNode body) {
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
  public static ForwardedReply decodeForwardedReply(int httpStatus, JsonNode body) {
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

  /** Encodes a controller's known leader. */
  public static ObjectNode encode(KnownLeader known) {
    return Codec.map().put("leader", known.leader()).put("term", known.term());
  }

  /**
   * Decodes a controller's known leader; empty if it has none or did not reply.
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

  /** Encodes a controller's ability to answer users. */
  public static ObjectNode encode(PeerReadiness readiness) {
    return Codec.map().put("leads", readiness.leads()).put("serves", readiness.serves());
  }

  /**
   * Decodes a controller's ability to answer users; empty if it did not report it, as controllers
   * of earlier versions do not.
   *
   * @param httpStatus the status of the call, or 0 if no response came
   * @param body the body of the call's response, or null
   */
  public static Optional<PeerReadiness> decodePeerReadiness(int httpStatus, JsonNode body) {
    if (httpStatus != HttpStatus.OK || body == null || !body.path("serves").isBoolean()) {
      return Optional.empty();
    }
    return Optional.of(
        new PeerReadiness(body.path("leads").asBoolean(false), body.path("serves").booleanValue()));
  }

  /** Encodes a request for a grant. */
  public static ObjectNode encode(GrantRequest request) {
    return Codec.map().put("term", request.term());
  }

  /** Decodes a request for a grant; a missing term becomes 0, for which nothing is granted. */
  public static GrantRequest decodeGrantRequest(JsonNode body) {
    return new GrantRequest(body.path("term").asLong());
  }

  /** Encodes the response to a request for a grant. */
  public static ObjectNode encode(GrantResponse response) {
    return Codec.map().put("given", response.granted());
  }

  /** Decodes the response to a request for a grant; no body means that nothing is granted. */
  public static GrantResponse decodeGrantResponse(JsonNode body) {
    return new GrantResponse(body != null && body.path("given").asBoolean(false));
  }

  /** Encodes a request for a delegation. */
  public static ObjectNode encode(DelegationRequest request) {
    return Codec.map()
        .put("node", request.node())
        .put("up", request.uptimeMicros())
        .put("answered_ago", request.sinceRenewalMicros())
        .put("echo", request.echoedTimestampMicros());
  }

  /** Decodes a request for a delegation. */
  public static DelegationRequest decodeDelegationRequest(JsonNode body) {
    return new DelegationRequest(
        body.path("node").asText(),
        body.path("up").asLong(0),
        body.path("answered_ago").asLong(DelegationRequest.NOT_YET_OCCURRED),
        body.path("echo").asLong(DelegationRequest.NOT_YET_OCCURRED));
  }

  /** Encodes the response to a request for a delegation; a refusal consists of the term 0 alone. */
  public static ObjectNode encode(DelegationResponse response) {
    ObjectNode map = Codec.map().put("term", response.term());
    return response.term() == 0
        ? map
        : map.put("lent", response.delegatedMicros()).put("at", response.timestampMicros());
  }

  /** Decodes the response to a request for a delegation; missing numbers are 0. */
  public static DelegationResponse decodeDelegationResponse(JsonNode body) {
    return new DelegationResponse(
        body.path("term").asLong(), body.path("lent").asLong(), body.path("at").asLong());
  }

  /** Encodes a request for the number of workers that send heartbeats to another controller. */
  public static ObjectNode encode(ContactRequest request) {
    ObjectNode map = Codec.map().put("within", request.maxHeartbeatAgeMicros());
    ArrayNode hosts = map.putArray("hosts");
    request.machines().forEach(hosts::add);
    return map;
  }

  /** Decodes a request for the number of workers that send heartbeats to this controller. */
  public static ContactRequest decodeContactRequest(JsonNode body) {
    List<String> machines = new ArrayList<>();
    body.path("hosts").forEach(machine -> machines.add(machine.asText()));
    return new ContactRequest(machines, body.path("within").asLong(0));
  }

  /** Encodes the number of workers that send heartbeats to this controller. */
  public static ObjectNode encode(ContactResponse response) {
    return Codec.map().put("heard", response.reachableMachines());
  }

  /**
   * Decodes the number of workers that send heartbeats to another controller; empty if it did not
   * report a number.
   *
   * @param httpStatus the status of the call, or 0 if no response came
   * @param body the body of the call's response, or null
   */
  public static Optional<ContactResponse> decodeContactResponse(int httpStatus, JsonNode body) {
    if (httpStatus != HttpStatus.OK || body == null || !body.path("heard").canConvertToInt()) {
      return Optional.empty();
    }
    return Optional.of(new ContactResponse(body.path("heard").intValue()));
  }

  /** Encodes a request for what a controller knows about a job. */
  public static ObjectNode encode(JobKnowledgeRequest request) {
    return Codec.map().put("job", request.jobId());
  }

  /** Decodes a request for what this controller knows about a job. */
  public static JobKnowledgeRequest decodeJobKnowledgeRequest(JsonNode body) {
    return new JobKnowledgeRequest(body.path("job").asText());
  }

  /** Encodes what this controller knows about a job. */
  public static ObjectNode encode(JobKnowledge knowledge) {
    ObjectNode map = Codec.map();
    if (knowledge instanceof JobKnowledge.Ended ended) {
      return map.put("known", "ended")
          .put("state", ended.jobState().wireName())
          .put("done", ended.done());
    }
    if (knowledge instanceof JobKnowledge.Accepted accepted) {
      return map.put("known", "accepted").put("revision", accepted.revision());
    }
    return map.put("known", "nothing");
  }

  /**
   * Decodes what another controller knows about a job; empty if it did not reply, or does not
   * understand the request, as controllers of earlier versions do not.
   *
   * @param httpStatus the status of the call, or 0 if no response came
   * @param body the body of the call's response, or null
   */
  public static Optional<JobKnowledge> decodeJobKnowledge(int httpStatus, JsonNode body) {
    if (httpStatus != HttpStatus.OK || body == null) {
      return Optional.empty();
    }
    return switch (body.path("known").asText()) {
      case "ended" -> decodeEnded(body);
      case "accepted" ->
          body.path("revision").canConvertToLong()
              ? Optional.of(new JobKnowledge.Accepted(body.path("revision").longValue()))
              : Optional.empty();
      case "nothing" -> Optional.of(new JobKnowledge.Nothing());
      default -> Optional.empty();
    };
  }

  private static Optional<JobKnowledge> decodeEnded(JsonNode body) {
    try {
      JobState jobState = JobState.of(body.path("state").asText());
      boolean isFinal = jobState == JobState.DONE || jobState == JobState.CANCELLED;
      return isFinal
          ? Optional.of(new JobKnowledge.Ended(jobState, body.path("done").asInt()))
          : Optional.empty();
    } catch (MalformedException e) {
      return Optional.empty();
    }
  }
}
