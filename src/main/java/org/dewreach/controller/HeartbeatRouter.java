package org.dewreach.controller;

import org.dewreach.heartbeat.PendingHeartbeats;
import org.dewreach.leadership.DelegateRenewer;
import org.dewreach.leadership.LastHeartbeatTimes;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.HeartbeatRedirect;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.MalformedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Routes workers' heartbeats: to the term that this controller leads, to its delegate renewer, or
 * to the leader by a redirect.
 */
final class HeartbeatRouter {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatRouter.class);

  private final Outbox outbox;
  private final Leadership leadership;
  private final EventClock clock;
  private final LastHeartbeatTimes lastHeartbeats;
  private final PendingHeartbeats pendingHeartbeats;

  HeartbeatRouter(ControllerServices services, Leadership leadership, EventClock clock) {
    this.outbox = services.outbox();
    this.leadership = leadership;
    this.clock = clock;
    this.lastHeartbeats = services.lastHeartbeats();
    this.pendingHeartbeats =
        new PendingHeartbeats(services.settings().hostLimits().maxConnections());
  }

  /** Handles a heartbeat; its response may be deferred until the leader is known. */
  void onRequest(Event.Request request) {
    Heartbeat heartbeat;
    try {
      heartbeat = Heartbeat.parse(request.body());
    } catch (MalformedException e) {
      LOG.info("heartbeat malformed: cause=\"{}\"", e.getMessage());
      outbox.respond(request.requestId(), HttpStatus.BAD_REQUEST, null);
      return;
    }
    lastHeartbeats.recordHeartbeat(heartbeat.machine(), clock.now());
    if (leadership.isUndecided() && !pendingHeartbeats.isFull()) {
      pendingHeartbeats.add(request.requestId(), heartbeat, clock.now());
    } else {
      route(request.requestId(), heartbeat);
    }
  }

  /** Responds to deferred heartbeats once the leader is known or their time limit has passed. */
  void tick() {
    if (!pendingHeartbeats.isEmpty()) {
      pendingHeartbeats.respondToDue(leadership.isUndecided(), clock.now(), this::route);
    }
  }

  private void route(long requestId, Heartbeat heartbeat) {
    if (leadership.hasAuthority()) {
      leadership.term().onHeartbeat(requestId, heartbeat, clock.now());
      return;
    }
    DelegateRenewer delegate = leadership.delegateRenewer();
    if (delegate.tryRenew(heartbeat, clock.now())) {
      outbox.respondUntil(
          requestId,
          HttpStatus.OK,
          delegate.heartbeatResponse().toNode(),
          delegate.delegatedUntil());
      return;
    }
    String leader = leadership.otherLeader();
    if (leader == null) {
      outbox.respond(requestId, HttpStatus.UNAVAILABLE, null);
    } else {
      outbox.respond(requestId, HttpStatus.MISDIRECTED, new HeartbeatRedirect(leader).toNode());
    }
  }
}
