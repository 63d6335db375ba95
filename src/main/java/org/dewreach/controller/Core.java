package org.dewreach.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.random.RandomGenerator;
import org.dewreach.cloud.CloudService;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.leadership.DelegateRenewer;
import org.dewreach.leadership.Election;
import org.dewreach.peer.Forwarded;
import org.dewreach.port.Calls;
import org.dewreach.port.ConnectionPool;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Target;
import org.dewreach.store.StateService;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobRequest;
import org.dewreach.wire.MalformedException;
import org.dewreach.wire.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: routes events to the election, to the term it leads, or to the leader. */
public final class Core implements Election.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Core.class);

  /** Users wait 2 s for the answer to a query, of which some is left for reading the record. */
  private static final long FORWARD_TIMEOUT_MICROS = 1_200_000;

  /**
   * A leader that has been silent lately is not waited for longer than this: the job can be kept
   * without it. One that answers is only slow, and keeping jobs without it would add to its load:
   * each then takes three state changes instead of one.
   */
  private static final long FORWARD_SUBMIT_TIMEOUT_MICROS = 150_000;

  /** As long as the leader answers others. */
  private static final long SLOW_SUBMIT_TIMEOUT_MICROS = 600_000;

  /** A leader that answered within this time is alive. */
  private static final long RECENT_REPLY_MICROS = 300_000;

  /** A leader that did not answer is left alone for this long, where there is another way. */
  private static final long LEADER_PAUSE_MICROS = 500_000;

  /** After a request that no leader took, the other nodes are asked who leads. */
  private static final long LEADER_DOUBT_MICROS = 3_000_000;

  private static final int BUSY_RETRY_S = 2;

  private static final long SUMMARY_INTERVAL_MICROS = 30_000_000;

  /** A node started in an outage asks the others soon. */
  private static final long STARTED_ALONE_MICROS = 1_000_000;

  private static final long OWN_DELEGATION_INTERVAL_MICROS = 500_000;

  private static final long ASK_PEERS_INTERVAL_MICROS = 500_000;

  /** Longer than a watch of the leader key stays open without an answer. */
  private static final long STATE_SILENT_MICROS = 10_000_000;

  /** Read-only numbers, at the internal address. */
  public static final String STATS_PATH = "/stats";

  private final Settings settings;
  private final Tuning tuning;
  private final Calls calls = new Calls(this::actsUntil);
  private final StateService state = new StateService(calls);
  private final CloudService cloud;
  private final MachineCatalog catalog;
  private final Election election;
  private final LeaderlessRequestHandler direct;
  private final DelegateRenewer delegateRenewer;
  private final long wallOffsetMicros;
  private LeadershipTerm term;
  private long now;
  private final LoadLimiter load = new LoadLimiter();
  private final WaitingReports waitingReports;
  private long nextSummary;
  private boolean ready;
  private long askPeersAt;
  private int nextPeer;
  private long leaderAgainAt;
  private String askedLeader;
  private long leaderAnsweredAt;
  private long doubtUntil;
  private long firstEventAt = -1;
  private long nextOwnDelegation;
  private long ownDelegationUntil;

  /**
   * A controller.
   *
   * @param boot a text that no other process has, also not an earlier one of this node
   * @param wallOffsetMicros time of day minus event time
   */
  public Core(
      Settings settings,
      Tuning tuning,
      String boot,
      RandomGenerator random,
      long wallOffsetMicros) {
    this.settings = settings;
    this.tuning = tuning;
    this.wallOffsetMicros = wallOffsetMicros;
    this.cloud = new CloudService(calls, settings.cloudLimits().rps());
    this.catalog = new MachineCatalog(state, cloud);
    this.election =
        new Election(
            // Guards against a renewal that waits behind users' reads and comes after the hold
            // ended.
            new StateService(calls, ConnectionPool.LEADERSHIP),
            calls,
            settings.members().stream().map(Settings.Member::name).toList(),
            settings.name(),
            boot,
            random,
            this);
    this.waitingReports = new WaitingReports(settings.limits().maxConnections());
    this.delegateRenewer = new DelegateRenewer(calls, state, settings);
    this.direct = new LeaderlessRequestHandler(state, catalog, settings, boot, wallOffsetMicros);
  }

  /** Handles one event; the effects are to be carried out in order. */
  public List<Effect> handle(long nowMicros, Event event) {
    now = Math.max(now, nowMicros);
    if (firstEventAt < 0) {
      firstEventAt = now;
      nextSummary = now + SUMMARY_INTERVAL_MICROS;
    }
    direct.now(now);
    if (event instanceof Event.Request request) {
      onRequest(request);
    } else if (event instanceof Event.Reply reply) {
      calls.reply(now, reply);
    }
    tick();
    return calls.drain();
  }

  private void tick() {
    election.tick(now);
    catalog.tick(now, term != null);
    if (term != null) {
      term.tick(now);
    }
    if (!waitingReports.isEmpty()) {
      waitingReports.takeDue(undecided(), now, this::answerReport);
    }
    askPeers();
    delegateRenewer();
    if (now >= nextSummary) {
      nextSummary = now + SUMMARY_INTERVAL_MICROS;
      LOG.info("load: {}", load.summary());
    }
  }

  /** Keeps up what this node may answer workers should it lose the others. */
  private void delegateRenewer() {
    if (leading()) {
      if (now >= nextOwnDelegation) {
        nextOwnDelegation = now + OWN_DELEGATION_INTERVAL_MICROS;
        ownDelegationUntil = term.delegateToSelf(settings.zone(), now);
      }
      delegateRenewer.leading(term.number(), Math.max(0, ownDelegationUntil - now), now);
      return;
    }
    delegateRenewer.over(election.leaderAbsent() ? Long.MAX_VALUE : election.latestTerm());
    delegateRenewer.tick(election.leader(), now);
  }

  /** A node that the state service does not answer learns from the others who leads. */
  private void askPeers() {
    boolean cut =
        election.lastContact() < 0
            ? now - firstEventAt > STARTED_ALONE_MICROS
            : now - election.lastContact() > STATE_SILENT_MICROS;
    // A leader without authority may have been followed by another one without noticing.
    boolean ask = term == null ? cut || now < doubtUntil : !election.hasAuthority(now);
    if (!ask || now < askPeersAt || settings.members().isEmpty()) {
      return;
    }
    askPeersAt = now + ASK_PEERS_INTERVAL_MICROS;
    Settings.Member member = settings.members().get(nextPeer++ % settings.members().size());
    calls.call(
        new Target.Member(member.name()),
        "GET",
        Forwarded.LEADER_PATH,
        null,
        1_000_000,
        (at, status, body) -> {
          if (status == 200 && body != null && body.path("leader").isTextual()) {
            String leader = body.path("leader").textValue();
            election.hint(leader, body.path("term").asLong(0), at);
            delegateRenewer.over(body.path("term").asLong(0));
          }
        });
  }

  /** Until when what this node decides now may leave it. */
  private long actsUntil() {
    return leading() ? election.actsUntil() : Effect.ANY_TIME;
  }

  public boolean leading() {
    return term != null && election.hasAuthority(now);
  }

  public long termNumber() {
    return term == null ? 0 : term.number();
  }

  @Override
  public void onElected(long nowMicros, long number) {
    // What an earlier term of this node lent it, the cluster state of this one does not know of.
    ownDelegationUntil = 0;
    nextOwnDelegation = nowMicros;
    term =
        new LeadershipTerm(
            number,
            calls,
            state,
            cloud,
            catalog,
            settings,
            tuning,
            election::hasAuthority,
            () -> election.lost(now, "a write showed the key lost"),
            () -> election.resign(now, "no worker is heard here"),
            delegateRenewer::answeredAt,
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
    calls.respond(request.requestId(), ready ? 200 : 503, null);
  }

  private void onReport(Event.Request request) {
    WorkerReport report;
    try {
      report = WorkerReport.parse(request.body());
    } catch (MalformedException e) {
      LOG.info("report not understood: {}", e.getMessage());
      calls.respond(request.requestId(), 400, null);
      return;
    }
    if (undecided() && !waitingReports.full()) {
      waitingReports.add(request.requestId(), report, now);
    } else {
      answerReport(request.requestId(), report);
    }
  }

  /**
   * True for a moment: until it is known who leads, and until a new leader has loaded the cluster
   * state.
   */
  private boolean undecided() {
    return election.deciding() || term != null && !term.loaded();
  }

  private void answerReport(long requestId, WorkerReport report) {
    if (term != null && election.hasAuthority(now)) {
      term.report(requestId, report, now);
      return;
    }
    if (delegateRenewer.answers(report, now)) {
      calls.respondUntil(requestId, 200, delegateRenewer.answer(), delegateRenewer.until());
      return;
    }
    String leader = election.leader();
    if (leader != null && !leader.equals(settings.name())) {
      calls.respond(requestId, 421, Codec.map().put("steward", leader));
    } else {
      calls.respond(requestId, 503, null);
    }
  }

  private void onUser(Event.Request request) {
    UserRequest parsed = route(request.method(), request.path(), request.body());
    if (parsed == null) {
      calls.respond(request.requestId(), known(request) ? 400 : 404, null);
      return;
    }
    if (parsed instanceof UserRequest.Submit submit && submit.jobId() == null) {
      calls.respond(request.requestId(), 400, null);
      return;
    }
    if (parsed.jobId() != null && !JobRequest.isId(parsed.jobId())) {
      // No job of such a name can have been accepted.
      calls.respond(request.requestId(), 404, null);
      return;
    }
    if (load.full()) {
      calls.respondRetry(request.requestId(), 503, null, BUSY_RETRY_S);
      return;
    }
    LoadLimiter.Entry entry = load.enter(now);
    Answer answer = answer(request.requestId(), entry);
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
    boolean otherWay = !(parsed instanceof UserRequest.Withdraw) && now < leaderAgainAt;
    if (leader != null && !leader.equals(settings.name()) && !otherWay) {
      forward(leader, request, parsed, answer);
    } else {
      direct.handle(parsed, answer);
    }
  }

  private static boolean known(Event.Request request) {
    return request.path().equals("/work") && request.method().equals("POST");
  }

  private static UserRequest route(String method, String path, JsonNode body) {
    if (path.equals("/work")) {
      if (!method.equals("POST")) {
        return null;
      }
      JsonNode uid = body == null ? null : body.get("uid");
      boolean hasId = uid != null && uid.isTextual() && JobRequest.isId(uid.textValue());
      return new UserRequest.Submit(hasId ? uid.textValue() : null, body);
    }
    if (!path.startsWith("/work/")) {
      return null;
    }
    String rest = path.substring("/work/".length());
    if (method.equals("GET") && rest.indexOf('/') < 0) {
      return new UserRequest.Query(rest);
    }
    if (method.equals("POST") && rest.endsWith("/abort")) {
      return new UserRequest.Withdraw(rest.substring(0, rest.length() - "/abort".length()));
    }
    return null;
  }

  private Answer answer(long requestId, LoadLimiter.Entry entry) {
    return (status, body, retryAfterS) -> {
      load.leave(entry, status, now);
      if (retryAfterS > 0) {
        calls.respondRetry(requestId, status, body, retryAfterS);
      } else {
        calls.respond(requestId, status, body);
      }
    };
  }

  /**
   * Guards against outdated answers of a term whose authority ran out while it worked on them.
   *
   * <p>Refusals too: what the term looked up and did not find, a later one may have taken over.
   */
  private Answer underAuthority(Answer answer) {
    LeadershipTerm asked = term;
    return (status, body, retryAfterS) -> {
      boolean tells = status < 500;
      if (!tells || term == asked && election.hasAuthority(now)) {
        answer.send(status, body, retryAfterS);
      } else {
        answer.later();
      }
    };
  }

  private void forward(String leader, Event.Request request, UserRequest parsed, Answer answer) {
    if (!leader.equals(askedLeader)) {
      // A new leader is taken to be alive.
      askedLeader = leader;
      leaderAnsweredAt = now;
    }
    boolean doubtful = now - leaderAnsweredAt > RECENT_REPLY_MICROS;
    boolean submit = parsed instanceof UserRequest.Submit;
    boolean brief = submit && doubtful;
    calls.call(
        new Target.Member(leader),
        "POST",
        Forwarded.PATH,
        Forwarded.request(request.method(), request.path(), request.body()),
        brief
            ? FORWARD_SUBMIT_TIMEOUT_MICROS
            : submit ? SLOW_SUBMIT_TIMEOUT_MICROS : FORWARD_TIMEOUT_MICROS,
        (at, status, body) -> {
          int given = status == 200 && body != null ? body.path("status").asInt(503) : 503;
          boolean busy = status == 200 && Forwarded.isBusy(body);
          if (given != 503 || busy) {
            leaderAnsweredAt = at;
          }
          if (busy) {
            // It leads, and has more to do than it can: going round it would not help.
            answer.send(503, null, BUSY_RETRY_S);
          } else if (given != 503) {
            JsonNode inner = body.get("body");
            boolean empty = inner == null || inner.isNull();
            answer.send(given, empty ? null : inner, body.path("retry").asInt(0));
          } else {
            // Guards against polls that fail for a while because the leader could not answer one of
            // them: in an outage it still knows most jobs, and nobody else knows any.
            if (status != 200 || Forwarded.isNotLeading(body)) {
              leaderAgainAt = at + LEADER_PAUSE_MICROS;
              doubtUntil = at + LEADER_DOUBT_MICROS;
            }
            direct.handle(parsed, answer);
          }
        });
  }

  private ObjectNode stats() {
    ObjectNode node = Codec.map().put("node", settings.name()).put("leader", election.leader());
    node.put("election", election.phase().name()).put("term", termNumber());
    node.put("open_calls", calls.openCalls());
    load.fill(node.putObject("users"));
    if (term != null) {
      term.fill(node.putObject("fleet"));
    }
    return node;
  }

  private void onPeer(Event.Request request) {
    if (request.path().equals(Forwarded.LEADER_PATH)) {
      ObjectNode known = Codec.map().put("leader", election.leader());
      calls.respond(request.requestId(), 200, known.put("term", election.latestTerm()));
      return;
    }
    if (request.path().equals(STATS_PATH)) {
      calls.respond(request.requestId(), 200, stats());
      return;
    }
    if (request.path().equals(Election.GRANT_PATH) && request.body() != null) {
      boolean given = election.grant(request.body().path("term").asLong(), now);
      calls.respond(request.requestId(), 200, Codec.map().put("given", given));
      return;
    }
    if (request.path().equals(DelegateRenewer.PATH) && request.body() != null) {
      boolean leads = leading();
      ObjectNode delegation = leads ? term.onDelegationRequest(request.body(), now) : null;
      calls.respond(request.requestId(), 200, leads ? delegation : Codec.map().put("term", 0));
      return;
    }
    if (!request.path().equals(Forwarded.PATH) || request.body() == null) {
      calls.respond(request.requestId(), 404, null);
      return;
    }
    JsonNode body = request.body();
    JsonNode inner = body.get("body");
    UserRequest parsed = route(body.path("method").asText(), body.path("path").asText(), inner);
    boolean leads = term != null && term.loaded() && election.hasAuthority(now);
    if (parsed == null || parsed.jobId() == null || !leads) {
      calls.respond(request.requestId(), 200, Forwarded.notLeading());
      return;
    }
    if (load.full()) {
      calls.respond(request.requestId(), 200, Forwarded.busy());
      return;
    }
    LoadLimiter.Entry entry = load.enter(now);
    Answer answer =
        (status, answerBody, retryAfterS) -> {
          load.leave(entry, status, now);
          calls.respond(
              request.requestId(), 200, Forwarded.answer(status, answerBody, retryAfterS));
        };
    term.user(parsed, underAuthority(answer), now);
  }
}
