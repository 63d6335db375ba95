package org.dewreach.request;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.peer.Forwarded;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;

/** Forwards users' requests to the leader; serves them without it if it does not answer. */
public final class LeaderForwarder {
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

  private final Outbox outbox;
  private final LeaderlessRequestHandler direct;
  private String askedLeader;
  private long leaderAnsweredAt;
  private long pausedUntil;
  private long doubtUntil;

  public LeaderForwarder(Outbox outbox, LeaderlessRequestHandler direct) {
    this.outbox = outbox;
    this.direct = direct;
  }

  /**
   * True if the request is not to be forwarded just now, as it can be served without the leader.
   */
  public boolean paused(UserRequest request, long nowMicros) {
    return !(request instanceof UserRequest.Cancel) && nowMicros < pausedUntil;
  }

  /** True for a while after a request that no leader took. */
  public boolean doubtsLeader(long nowMicros) {
    return nowMicros < doubtUntil;
  }

  /** Sends the request to the leader, whose answer becomes the user's. */
  public void forward(
      String leader, Event.Request request, UserRequest parsed, Responder answer, long nowMicros) {
    if (!leader.equals(askedLeader)) {
      // A new leader is taken to be alive.
      askedLeader = leader;
      leaderAnsweredAt = nowMicros;
    }
    outbox.call(
        new Target.Member(leader),
        "POST",
        Forwarded.PATH,
        Forwarded.request(request.method(), request.path(), request.body()),
        timeoutMicros(parsed, nowMicros),
        (at, status, body) -> onReply(parsed, answer, at, status, body));
  }

  private long timeoutMicros(UserRequest request, long nowMicros) {
    if (!(request instanceof UserRequest.Submit)) {
      return FORWARD_TIMEOUT_MICROS;
    }
    boolean suspect = nowMicros - leaderAnsweredAt > RECENT_REPLY_MICROS;
    return suspect ? FORWARD_SUBMIT_TIMEOUT_MICROS : SLOW_SUBMIT_TIMEOUT_MICROS;
  }

  private void onReply(UserRequest request, Responder answer, long at, int status, JsonNode body) {
    int given = status == 200 && body != null ? body.path("status").asInt(503) : 503;
    boolean busy = status == 200 && Forwarded.isBusy(body);
    if (given != 503 || busy) {
      leaderAnsweredAt = at;
    }
    if (busy) {
      // It leads, and has more to do than it can: going round it would not help.
      answer.send(503, null, ConcurrencyLimiter.BUSY_RETRY_S);
    } else if (given != 503) {
      JsonNode inner = body.get("body");
      boolean empty = inner == null || inner.isNull();
      answer.send(given, empty ? null : inner, body.path("retry").asInt(0));
    } else {
      // Guards against polls that fail for a while because the leader could not answer one of
      // them: in an outage it still knows most jobs, and nobody else knows any.
      if (status != 200 || Forwarded.isNotLeading(body)) {
        pausedUntil = at + LEADER_PAUSE_MICROS;
        doubtUntil = at + LEADER_DOUBT_MICROS;
      }
      direct.handle(request, answer);
    }
  }
}
