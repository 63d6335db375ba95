package org.dewreach.controller;

import java.util.function.Consumer;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStates;
import org.dewreach.peer.ForwardedReply;
import org.dewreach.peer.ForwardedRequest;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.request.ConcurrencyLimiter;
import org.dewreach.request.LeaderForwarder;
import org.dewreach.request.LeaderlessRequestHandler;
import org.dewreach.request.Responder;
import org.dewreach.request.UserRequest;
import org.dewreach.request.UserRequestLimits;
import org.dewreach.request.UserRequestParser;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.JobStatus;
import org.dewreach.wire.JobSubmission;
import org.dewreach.wire.UserResponse;
import org.dewreach.wire.UserResponseCodec;

/**
 * Routes users' requests: to the final states known here, to the term that this controller leads,
 * to the leader, or to the handler that needs no leader.
 */
final class UserRequestRouter {
  private final Outbox outbox;
  private final FinalStates finalStates;
  private final Leadership leadership;
  private final EventClock clock;
  private final UserRequestLimits limits;
  private final LeaderForwarder forwarder;
  private final LeaderlessRequestHandler leaderlessHandler;

  UserRequestRouter(
      ControllerServices services, Leadership leadership, EventClock clock, String bootId) {
    this.outbox = services.outbox();
    this.finalStates = services.finalStates();
    this.leadership = leadership;
    this.clock = clock;
    this.limits = new UserRequestLimits(clock);
    this.leaderlessHandler =
        new LeaderlessRequestHandler(
            services.store(),
            finalStates,
            services.catalog(),
            services.settings(),
            bootId,
            clock,
            services.wallOffsetMicros());
    this.forwarder = new LeaderForwarder(outbox, leaderlessHandler);
  }

  UserRequestLimits limits() {
    return limits;
  }

  /** True if the known leader recently failed to accept a forwarded request. */
  boolean isLeaderSuspected() {
    return forwarder.suspectsLeader(clock.now());
  }

  /** Handles a request that a user sent to this controller. */
  void onRequest(Event.Request received) {
    Responder responder = responderTo(received.requestId());
    UserRequest request =
        UserRequestParser.parse(
            received.method(), received.path(), new JobSubmission(received.body()));
    if (request == null) {
      responder.respond(UserResponse.empty(HttpStatus.NOT_FOUND));
      return;
    }
    if (request.jobId() == null) {
      responder.respond(UserResponse.empty(HttpStatus.BAD_REQUEST));
      return;
    }
    if (!JobSpec.isId(request.jobId())) {
      // No job with an invalid id can have been accepted.
      responder.respond(UserResponse.empty(HttpStatus.NOT_FOUND));
      return;
    }
    FinalState finalState = finalStates.get(request.jobId());
    if (finalState != null) {
      // Exempt from the load limit, since the response needs no further work and waits for nothing.
      respondFinalState(request, finalState, limits.admit(request, responder));
      return;
    }
    if (limits.shedIfAtLimit(request)) {
      responder.respond(UserResponse.unavailable(ConcurrencyLimiter.BUSY_RETRY_S));
      return;
    }
    dispatch(received, request, limits.admit(request, responder));
  }

  /** Responds to any request about a job that has ended with its final state. */
  private static void respondFinalState(
      UserRequest request, FinalState finalState, Responder responder) {
    String jobId = request.jobId();
    boolean isQuery = request instanceof UserRequest.Query;
    JobStatus jobStatus =
        isQuery
            ? JobStatus.withCounts(jobId, finalState.jobState(), finalState.done(), 0)
            : JobStatus.withoutCounts(jobId, finalState.jobState());
    responder.respond(UserResponse.ok(jobStatus));
  }

  private void dispatch(Event.Request received, UserRequest request, Responder responder) {
    if (leadership.term() != null) {
      // Until the new leader has authority and has loaded the cluster state, jobs are accepted and
      // read without it.
      if (leadership.canServe()) {
        handleAsLeader(request, responder);
      } else {
        leaderlessHandler.handle(request, responder);
      }
      return;
    }
    String leader = leadership.otherLeader();
    if (leader == null || forwarder.isForwardingPausedFor(request, clock.now())) {
      leaderlessHandler.handle(request, responder);
      return;
    }
    ForwardedRequest message =
        new ForwardedRequest(received.method(), received.path(), received.body());
    forwarder.forward(leader, message, request, responder, clock.now());
  }

  private void handleAsLeader(UserRequest request, Responder responder) {
    LeadershipTerm term = leadership.term();
    term.onUserRequest(
        request, new AuthorityCheckedResponder(leadership, term, responder), clock.now());
  }

  /** Handles a user's request that another controller forwarded to this one as the leader. */
  void onForwarded(ForwardedRequest message, Consumer<ForwardedReply> reply) {
    UserRequest request =
        UserRequestParser.parse(
            message.method(), message.path(), new JobSubmission(message.body()));
    Responder responder = response -> reply.accept(new ForwardedReply.Handled(response));
    boolean valid = request != null && request.jobId() != null;
    FinalState finalState = valid ? finalStates.get(request.jobId()) : null;
    if (finalState != null) {
      respondFinalState(request, finalState, responder);
    } else if (!valid || !leadership.canServe()) {
      reply.accept(new ForwardedReply.NotLeading());
    } else if (limits.shedIfAtLimit(request)) {
      reply.accept(new ForwardedReply.Busy());
    } else {
      handleAsLeader(request, limits.admit(request, responder));
    }
  }

  private Responder responderTo(long requestId) {
    return response ->
        outbox.respondWithRetryAfter(
            requestId,
            response.status(),
            UserResponseCodec.encode(response.body()),
            response.retryAfterSeconds());
  }
}
