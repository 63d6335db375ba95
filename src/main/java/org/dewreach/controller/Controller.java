package org.dewreach.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.random.RandomGenerator;
import org.dewreach.cloud.CloudClient;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.heartbeat.PendingHeartbeats;
import org.dewreach.history.FinalState;
import org.dewreach.history.FinalStateWatcher;
import org.dewreach.history.FinalStates;
import org.dewreach.leadership.DelegateRenewer;
import org.dewreach.leadership.Election;
import org.dewreach.peer.DelegationRequest;
import org.dewreach.peer.DelegationResponse;
import org.dewreach.peer.ForwardedReply;
import org.dewreach.peer.ForwardedRequest;
import org.dewreach.peer.GrantRequest;
import org.dewreach.peer.GrantResponse;
import org.dewreach.peer.KnownLeader;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.ConnectionPool;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.request.ConcurrencyLimiter;
import org.dewreach.request.LeaderDiscovery;
import org.dewreach.request.LeaderForwarder;
import org.dewreach.request.LeaderlessRequestHandler;
import org.dewreach.request.Responder;
import org.dewreach.request.RetryReason;
import org.dewreach.request.UserRequest;
import org.dewreach.request.UserRequestLimits;
import org.dewreach.request.UserRequestParser;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.KeyValueStore;
import org.dewreach.wire.Codec;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.JobStatus;
import org.dewreach.wire.MalformedException;
import org.dewreach.wire.UserResponse;
import org.dewreach.wire.UserResponseCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: routes events to the election, to the term it leads, or to the leader. */
public final class Controller implements Election.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  private static final long SUMMARY_INTERVAL_MICROS = 30_000_000;

  private static final long OWN_DELEGATION_INTERVAL_MICROS = 500_000;

  /** Read-only numbers, at the internal address. */
  public static final String STATS_PATH = "/stats";

  private final Settings settings;
  private final Tuning tuning;
  private final Outbox outbox = new Outbox(this::actsUntil);
  private final KeyValueStore state = new KeyValueStore(outbox);
  private final CloudClient cloud;
  private final MachineTypeCatalog catalog;
  private final Election election;
  private final FinalStates finalStates = new FinalStates();
  private final FinalStateWatcher finalStateWatcher = new FinalStateWatcher(state, finalStates);
  private final LeaderlessRequestHandler direct;
  private final DelegateRenewer delegateRenewer;
  private final LeaderDiscovery discovery;
  private final LeaderForwarder forwarder;
  private final long wallOffsetMicros;
  private LeadershipTerm term;
  private long now;
  private final UserRequestLimits userLoad = new UserRequestLimits(() -> now);
  private final PendingHeartbeats pendingHeartbeats;
  private long nextSummary;
  private boolean ready;
  private long nextOwnDelegation;
  private long ownDelegationUntil;

  /**
   * A controller.
   *
   * @param boot a text that no other process has, also not an earlier one of this node
   * @param wallOffsetMicros time of day minus event time
   */
  public Controller(
      Settings settings,
      Tuning tuning,
      String boot,
      RandomGenerator random,
      long wallOffsetMicros) {
    this.settings = settings;
    this.tuning = tuning;
    this.wallOffsetMicros = wallOffsetMicros;
    this.cloud = new CloudClient(outbox, settings.cloudLimits().rps());
    this.catalog = new MachineTypeCatalog(state, cloud);
    this.election =
        new Election(
            // Guards against a renewal that waits behind users' reads and comes after the hold
            // ended.
            new KeyValueStore(outbox, ConnectionPool.LEADERSHIP),
            outbox,
            settings.members().stream().map(Settings.Member::name).toList(),
            settings.name(),
            boot,
            random,
            this);
    this.pendingHeartbeats = new PendingHeartbeats(settings.limits().maxConnections());
    this.delegateRenewer = new DelegateRenewer(outbox, state, settings);
    this.direct =
        new LeaderlessRequestHandler(
            state, finalStates, catalog, settings, boot, () -> now, wallOffsetMicros);
    this.discovery = new LeaderDiscovery(outbox, settings, election, delegateRenewer);
    this.forwarder = new LeaderForwarder(outbox, direct);
  }

  /** Handles one event; the effects are to be carried out in order. */
  public List<Effect> handle(long nowMicros, Event event) {
    now = Math.max(now, nowMicros);
    if (nextSummary == 0) {
      nextSummary = now + SUMMARY_INTERVAL_MICROS;
    }
    if (event instanceof Event.Request request) {
      onRequest(request);
    } else if (event instanceof Event.Reply reply) {
      outbox.reply(now, reply);
    }
    tick();
    return outbox.drain();
  }

  private void tick() {
    election.tick(now);
    catalog.tick(now, term != null);
    finalStateWatcher.tick(now);
    if (term != null) {
      term.tick(now);
    }
    if (!pendingHeartbeats.isEmpty()) {
      pendingHeartbeats.answerDue(undecided(), now, this::answerReport);
    }
    discovery.tick(term != null, forwarder.doubtsLeader(now), now);
    renewDelegations();
    if (now >= nextSummary) {
      nextSummary = now + SUMMARY_INTERVAL_MICROS;
      userLoad.logSummary();
      LOG.info(
          "{} final states known at revision {}", finalStates.size(), finalStateWatcher.revision());
    }
  }

  /** Keeps up what this node may answer workers should it lose the others. */
  private void renewDelegations() {
    if (leading()) {
      if (now >= nextOwnDelegation) {
        nextOwnDelegation = now + OWN_DELEGATION_INTERVAL_MICROS;
        ownDelegationUntil = term.delegateToSelf(settings.zone(), now);
      }
      delegateRenewer.onLeading(term.number(), Math.max(0, ownDelegationUntil - now), now);
      return;
    }
    delegateRenewer.onTermKnown(election.leaderAbsent() ? Long.MAX_VALUE : election.latestTerm());
    delegateRenewer.tick(election.leader(), now);
  }

  /** Until when what this node decides now may leave it. */
  private long actsUntil() {
    return leading() ? election.authorityEndsAt() : Effect.ANY_TIME;
  }

  public boolean leading() {
    return term != null && election.hasAuthority(now);
  }

  public long termNumber() {
    return term == null ? 0 : term.number();
  }

  @Override
  public void onElected(long nowMicros, long number) {
    // What an earlier term of this node delegated it, the cluster state of this one does not know
    // of.
    ownDelegationUntil = 0;
    nextOwnDelegation = nowMicros;
    term =
        new LeadershipTerm(
            number,
            outbox,
            state,
            cloud,
            finalStates,
            catalog,
            settings,
            tuning,
            election::hasAuthority,
            () -> election.onKeyLost(now, "a write found the leader key lost"),
            () -> election.resign(now, "no heartbeats reach this node"),
            delegateRenewer::lastRenewalAt,
            nowMicros,
            wallOffsetMicros);
  }

  @Override
  public void onDeposed(long nowMicros, long number) {
    LeadershipTerm old = term;
    term = null;
    if (old != null) {
      old.close(nowMicros);
    }
  }

  // Requests

  private void onRequest(Event.Request request) {
    if (request.source() == Event.Source.PEER) {
      onPeer(request);
      return;
    }
    switch (request.path()) {
      case "/ready" -> onReady(request);
      case "/hello" -> onReport(request);
      default -> onUser(request);
    }
  }

  private void onReady(Event.Request request) {
    // Once this node has known a way to serve, troubles of the others show in single answers: a
    // health check that flaps would take it out for longer than the trouble lasts.
    ready |= election.lastContact() >= 0;
    outbox.respond(request.requestId(), ready ? 200 : 503, null);
  }

  private void onReport(Event.Request request) {
    Heartbeat report;
    try {
      report = Heartbeat.parse(request.body());
    } catch (MalformedException e) {
      LOG.info("report not understood: {}", e.getMessage());
      outbox.respond(request.requestId(), 400, null);
      return;
    }
    if (undecided() && !pendingHeartbeats.full()) {
      pendingHeartbeats.add(request.requestId(), report, now);
    } else {
      answerReport(request.requestId(), report);
    }
  }

  /**
   * True for a moment: until it is known who leads, and until a new leader has loaded the cluster
   * state.
   */
  private boolean undecided() {
    return election.undecided() || term != null && !term.loaded();
  }

  private void answerReport(long requestId, Heartbeat report) {
    if (term != null && election.hasAuthority(now)) {
      term.report(requestId, report, now);
      return;
    }
    if (delegateRenewer.tryRenew(report, now)) {
      outbox.respondUntil(
          requestId,
          200,
          delegateRenewer.heartbeatResponse().toNode(),
          delegateRenewer.delegatedUntil());
      return;
    }
    String leader = election.leader();
    if (leader != null && !leader.equals(settings.name())) {
      outbox.respond(requestId, 421, Codec.map().put("steward", leader));
    } else {
      outbox.respond(requestId, 503, null);
    }
  }

  private void onUser(Event.Request request) {
    UserRequest parsed = UserRequestParser.parse(request.method(), request.path(), request.body());
    if (parsed == null) {
      outbox.respond(request.requestId(), known(request) ? 400 : 404, null);
      return;
    }
    if (parsed instanceof UserRequest.Submit submit && submit.jobId() == null) {
      outbox.respond(request.requestId(), 400, null);
      return;
    }
    if (parsed.jobId() != null && !JobSpec.isId(parsed.jobId())) {
      // No job of such a name can have been accepted.
      outbox.respond(request.requestId(), 404, null);
      return;
    }
    FinalState finalState = finalStates.get(parsed.jobId());
    if (finalState != null) {
      // Before the load limit, as it takes no time and waits for nothing.
      sendFinalState(parsed, finalState, userLoad.admit(parsed, answer(request.requestId())));
      return;
    }
    if (userLoad.sheds(parsed)) {
      outbox.respondRetry(request.requestId(), 503, null, ConcurrencyLimiter.BUSY_RETRY_S);
      return;
    }
    dispatch(request, parsed, userLoad.admit(parsed, answer(request.requestId())));
  }

  /** The answer to any request about a job that has ended: what it ended as. */
  private static void sendFinalState(UserRequest request, FinalState found, Responder answer) {
    String id = request.jobId();
    boolean counts = request instanceof UserRequest.Query;
    JobStatus jobStatus =
        counts
            ? JobStatus.withCounts(id, found.jobState(), found.done(), 0)
            : JobStatus.withoutCounts(id, found.jobState());
    answer.respond(UserResponse.ok(jobStatus));
  }

  /** Gives a user's request to the term of this node, to the leader, or serves it without one. */
  private void dispatch(Event.Request request, UserRequest parsed, Responder answer) {
    if (term != null) {
      // Before a leader may act, or knows what is there, jobs are kept and read without it.
      if (term.loaded() && election.hasAuthority(now)) {
        term.user(parsed, underAuthority(answer), now);
      } else {
        direct.handle(parsed, answer);
      }
      return;
    }
    String leader = election.leader();
    if (leader != null && !leader.equals(settings.name()) && !forwarder.isPausedFor(parsed, now)) {
      forwarder.forward(
          leader,
          new ForwardedRequest(request.method(), request.path(), request.body()),
          parsed,
          answer,
          now);
    } else {
      direct.handle(parsed, answer);
    }
  }

  private static boolean known(Event.Request request) {
    return request.path().equals("/work") && request.method().equals("POST");
  }

  private Responder answer(long requestId) {
    return response ->
        outbox.respondRetry(
            requestId,
            response.status(),
            UserResponseCodec.encode(response.body()),
            response.retryAfterSeconds());
  }

  /**
   * Guards against outdated answers of a term whose authority ran out while it worked on them.
   *
   * <p>Refusals too: what the term looked up and did not find, a later one may have taken over.
   */
  private Responder underAuthority(Responder answer) {
    LeadershipTerm asked = term;
    return new Responder() {
      @Override
      public void respond(UserResponse response) {
        if (response.isServerError() || term == asked && election.hasAuthority(now)) {
          answer.respond(response);
        } else {
          answer.respondRetry(RetryReason.NO_AUTHORITY);
        }
      }

      @Override
      public void respondRetry(RetryReason reason) {
        answer.respondRetry(reason);
      }
    };
  }

  private ObjectNode stats() {
    ObjectNode node = Codec.map().put("node", settings.name()).put("leader", election.leader());
    node.put("election", election.phase().name()).put("term", termNumber());
    node.put("open_calls", outbox.openCalls());
    StatsCodec.encode(userLoad.stats(), node);
    node.put("final_states", finalStates.size());
    node.put("final_states_revision", finalStateWatcher.revision());
    if (term != null) {
      term.fill(node.putObject("fleet"));
    }
    return node;
  }

  private void onPeer(Event.Request request) {
    long requestId = request.requestId();
    JsonNode body = request.body();
    switch (request.path()) {
      case PeerMessageCodec.LEADER_PATH -> {
        KnownLeader known = new KnownLeader(election.leader(), election.latestTerm());
        outbox.respond(requestId, 200, PeerMessageCodec.encode(known));
      }
      case STATS_PATH -> outbox.respond(requestId, 200, stats());
      case GrantRequest.PATH, DelegationRequest.PATH, PeerMessageCodec.FORWARD_PATH -> {
        if (body == null) {
          outbox.respond(requestId, 404, null);
        } else {
          onPeerPost(request.path(), requestId, body);
        }
      }
      default -> outbox.respond(requestId, 404, null);
    }
  }

  private void onPeerPost(String path, long requestId, JsonNode body) {
    switch (path) {
      case GrantRequest.PATH -> {
        boolean granted = election.grantTo(GrantRequest.parse(body).term(), now);
        outbox.respond(requestId, 200, new GrantResponse(granted).toNode());
      }
      case DelegationRequest.PATH -> {
        DelegationResponse response =
            leading()
                ? term.onDelegationRequest(DelegationRequest.parse(body), now)
                : DelegationResponse.REFUSED;
        outbox.respond(requestId, 200, response.toNode());
      }
      default -> onForwarded(requestId, body);
    }
  }

  /** Answers a user's request that another node has forwarded to this one as the leader. */
  private void onForwarded(long requestId, JsonNode body) {
    ForwardedRequest request = PeerMessageCodec.decodeRequest(body);
    UserRequest parsed = UserRequestParser.parse(request.method(), request.path(), request.body());
    Responder answer =
        response -> respondForwarded(requestId, new ForwardedReply.Handled(response));
    FinalState finalState =
        parsed == null || parsed.jobId() == null ? null : finalStates.get(parsed.jobId());
    if (finalState != null) {
      sendFinalState(parsed, finalState, answer);
      return;
    }
    boolean leads = term != null && term.loaded() && election.hasAuthority(now);
    if (parsed == null || parsed.jobId() == null || !leads) {
      respondForwarded(requestId, new ForwardedReply.NotLeading());
    } else if (userLoad.sheds(parsed)) {
      respondForwarded(requestId, new ForwardedReply.Busy());
    } else {
      term.user(parsed, underAuthority(userLoad.admit(parsed, answer)), now);
    }
  }

  private void respondForwarded(long requestId, ForwardedReply reply) {
    outbox.respond(requestId, 200, PeerMessageCodec.encode(reply));
  }
}
