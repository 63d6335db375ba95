package org.dewreach.controller;

import java.util.function.Supplier;
import org.dewreach.history.AcceptedJobs;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStates;
import org.dewreach.leadership.LastHeartbeatTimes;
import org.dewreach.peer.ContactRequest;
import org.dewreach.peer.ContactResponse;
import org.dewreach.peer.DelegationRequest;
import org.dewreach.peer.DelegationResponse;
import org.dewreach.peer.ForwardedReply;
import org.dewreach.peer.GrantRequest;
import org.dewreach.peer.GrantResponse;
import org.dewreach.peer.JobKnowledge;
import org.dewreach.peer.JobKnowledgeRequest;
import org.dewreach.peer.KnownLeader;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.peer.PeerReadiness;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.wire.HttpStatus;

/** Routes requests of other controllers, and of operators at the internal address. */
final class PeerRequestRouter {
  private static final String STATS_PATH = "/stats";

  private final Outbox outbox;
  private final Leadership leadership;
  private final EventClock clock;
  private final UserRequestRouter userRequests;
  private final LastHeartbeatTimes lastHeartbeats;
  private final FinalStates finalStates;
  private final Supplier<PeerReadiness> readiness;
  private final Supplier<ControllerStats> stats;

  PeerRequestRouter(
      ControllerServices services,
      Leadership leadership,
      EventClock clock,
      UserRequestRouter userRequests,
      Supplier<PeerReadiness> readiness,
      Supplier<ControllerStats> stats) {
    this.outbox = services.outbox();
    this.leadership = leadership;
    this.clock = clock;
    this.userRequests = userRequests;
    this.lastHeartbeats = services.lastHeartbeats();
    this.finalStates = services.finalStates();
    this.readiness = readiness;
    this.stats = stats;
  }

  /** Handles a request of another controller or of an operator. */
  void onRequest(Event.Request request) {
    long requestId = request.requestId();
    switch (request.path()) {
      case PeerMessageCodec.LEADER_PATH -> onLeaderQuery(requestId);
      case PeerMessageCodec.READINESS_PATH ->
          outbox.respond(requestId, HttpStatus.OK, PeerMessageCodec.encode(readiness.get()));
      case STATS_PATH -> outbox.respond(requestId, HttpStatus.OK, StatsCodec.encode(stats.get()));
      default -> {
        if (request.body() == null) {
          outbox.respond(requestId, HttpStatus.NOT_FOUND, null);
        } else {
          onMessage(request);
        }
      }
    }
  }

  private void onMessage(Event.Request request) {
    long requestId = request.requestId();
    switch (request.path()) {
      case PeerMessageCodec.GRANT_PATH ->
          onGrantRequest(requestId, PeerMessageCodec.decodeGrantRequest(request.body()));
      case PeerMessageCodec.DELEGATION_PATH ->
          onDelegationRequest(requestId, PeerMessageCodec.decodeDelegationRequest(request.body()));
      case PeerMessageCodec.CONTACTS_PATH ->
          onContactRequest(requestId, PeerMessageCodec.decodeContactRequest(request.body()));
      case PeerMessageCodec.JOB_PATH ->
          onJobKnowledgeRequest(
              requestId, PeerMessageCodec.decodeJobKnowledgeRequest(request.body()));
      case PeerMessageCodec.FORWARD_PATH ->
          userRequests.onForwarded(
              PeerMessageCodec.decodeForwardedRequest(request.body()),
              reply -> respond(requestId, reply));
      default -> outbox.respond(requestId, HttpStatus.NOT_FOUND, null);
    }
  }

  private void onLeaderQuery(long requestId) {
    KnownLeader knownLeader =
        new KnownLeader(leadership.election().leader(), leadership.election().latestTerm());
    outbox.respond(requestId, HttpStatus.OK, PeerMessageCodec.encode(knownLeader));
  }

  private void onGrantRequest(long requestId, GrantRequest request) {
    boolean granted = leadership.election().grantTo(request.term(), clock.now());
    outbox.respond(requestId, HttpStatus.OK, PeerMessageCodec.encode(new GrantResponse(granted)));
  }

  private void onDelegationRequest(long requestId, DelegationRequest request) {
    DelegationResponse response =
        leadership.hasAuthority()
            ? leadership.term().onDelegationRequest(request, clock.now())
            : DelegationResponse.REFUSED;
    outbox.respond(requestId, HttpStatus.OK, PeerMessageCodec.encode(response));
  }

  private void onContactRequest(long requestId, ContactRequest request) {
    int reachable =
        lastHeartbeats.countSeenSince(
            request.machines(), clock.now() - request.maxHeartbeatAgeMicros());
    outbox.respond(
        requestId, HttpStatus.OK, PeerMessageCodec.encode(new ContactResponse(reachable)));
  }

  private void onJobKnowledgeRequest(long requestId, JobKnowledgeRequest request) {
    outbox.respond(requestId, HttpStatus.OK, PeerMessageCodec.encode(knowledgeOf(request.jobId())));
  }

  private JobKnowledge knowledgeOf(String jobId) {
    FinalState finalState = finalStates.get(jobId);
    if (finalState != null) {
      return new JobKnowledge.Ended(finalState.jobState(), finalState.done());
    }
    long revision = finalStates.accepted().revision(jobId);
    return revision == AcceptedJobs.UNKNOWN
        ? new JobKnowledge.Nothing()
        : new JobKnowledge.Accepted(revision);
  }

  private void respond(long requestId, ForwardedReply reply) {
    outbox.respond(requestId, HttpStatus.OK, PeerMessageCodec.encode(reply));
  }
}
