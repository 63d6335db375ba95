package org.dewreach.controller;

import java.util.List;
import java.util.random.RandomGenerator;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.history.FinalStateWatcher;
import org.dewreach.leadership.Election;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.request.LeaderDiscovery;
import org.dewreach.wire.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller of the cluster: handles events and returns the effects to execute. */
public final class Controller {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  private static final long SUMMARY_INTERVAL_MICROS = 30_000_000;

  private static final String READINESS_PATH = "/ready";
  private static final String HEARTBEAT_PATH = "/hello";

  private final EventClock clock = new EventClock();
  private final Outbox outbox;
  private final ControllerServices services;
  private final Leadership leadership;
  private final FinalStateWatcher finalStateWatcher;
  private final LeaderDiscovery leaderDiscovery;
  private final UserRequestRouter userRequests;
  private final HeartbeatRouter heartbeats;
  private final PeerRequestRouter peerRequests;
  private final ReadinessMonitor readiness;
  private long nextSummaryAt;

  /**
   * Creates a controller.
   *
   * @param bootId a string that is unique to this process, also among earlier processes of this
   *     controller
   * @param wallOffsetMicros wall-clock time minus event time
   */
  public Controller(
      Settings settings,
      Tuning tuning,
      String bootId,
      RandomGenerator random,
      long wallOffsetMicros) {
    this.outbox = new Outbox(this::effectsValidUntil);
    this.services = ControllerServices.create(settings, tuning, outbox, wallOffsetMicros);
    this.leadership = new Leadership(services, clock, bootId, random);
    this.finalStateWatcher = new FinalStateWatcher(services.store(), services.finalStates());
    this.leaderDiscovery =
        new LeaderDiscovery(outbox, settings, leadership.election(), leadership.delegateRenewer());
    this.userRequests = new UserRequestRouter(services, leadership, clock, bootId);
    this.heartbeats = new HeartbeatRouter(services, leadership, clock);
    this.readiness = new ReadinessMonitor(outbox, settings, leadership);
    this.peerRequests =
        new PeerRequestRouter(
            services,
            leadership,
            clock,
            userRequests,
            () -> readiness.readiness(clock.now()),
            this::stats);
  }

  private long effectsValidUntil() {
    return leadership.effectsValidUntil();
  }

  /** Handles one event and returns its effects, which are to be executed in order. */
  public List<Effect> handle(long nowMicros, Event event) {
    clock.advanceTo(nowMicros);
    if (nextSummaryAt == 0) {
      nextSummaryAt = clock.now() + SUMMARY_INTERVAL_MICROS;
    }
    if (event instanceof Event.Request request) {
      onRequest(request);
    } else if (event instanceof Event.Reply reply) {
      outbox.reply(clock.now(), reply);
    }
    tick();
    return outbox.drain();
  }

  /** True if this controller has authority to act as leader. */
  public boolean leading() {
    return leadership.hasAuthority();
  }

  private void onRequest(Event.Request request) {
    if (request.source() == Event.Source.PEER) {
      peerRequests.onRequest(request);
      return;
    }
    switch (request.path()) {
      case READINESS_PATH -> onReadinessProbe(request);
      case HEARTBEAT_PATH -> heartbeats.onRequest(request);
      default -> userRequests.onRequest(request);
    }
  }

  private void onReadinessProbe(Event.Request request) {
    // A response that was received just before the probe counts, without waiting for a tick.
    readiness.tick(clock.now());
    int status = readiness.ready() ? HttpStatus.OK : HttpStatus.UNAVAILABLE;
    outbox.respond(request.requestId(), status, null);
  }

  private void tick() {
    long nowMicros = clock.now();
    leadership.election().tick(nowMicros);
    services.catalog().tick(nowMicros, leadership.term() != null);
    finalStateWatcher.tick(nowMicros);
    if (leadership.term() != null) {
      finalStateWatcher.catchUpTo(leadership.termNumber(), nowMicros);
      leadership.term().tick(nowMicros);
    }
    heartbeats.tick();
    readiness.tick(nowMicros);
    leaderDiscovery.tick(leadership.term() != null, userRequests.isLeaderSuspected(), nowMicros);
    leadership.renewDelegations();
    if (nowMicros >= nextSummaryAt) {
      nextSummaryAt = nowMicros + SUMMARY_INTERVAL_MICROS;
      logSummary();
    }
  }

  private void logSummary() {
    userRequests.limits().logSummary();
    LOG.info(
        "final states known: count={} revision={}",
        services.finalStates().size(),
        finalStateWatcher.revision());
  }

  private ControllerStats stats() {
    Election election = leadership.election();
    LeadershipTerm term = leadership.term();
    return new ControllerStats(
        services.settings().name(),
        election.leader(),
        election.state(),
        leadership.termNumber(),
        outbox.openCalls(),
        userRequests.limits().stats(),
        services.finalStates().size(),
        finalStateWatcher.revision(),
        term == null ? null : term.stats());
  }
}
