package org.dewreach.request;

import org.dewreach.peer.ForwardedReply;
import org.dewreach.peer.ForwardedRequest;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.UserResponse;

/** Forwards users' requests to the leader; has them served without it if it does not reply. */
public final class LeaderForwarder {
  /** Users wait 2 s for the response to a query, of which some is left for reading the record. */
  private static final long FORWARD_TIMEOUT_MICROS = 1_200_000;

  /**
   * A leader that has been silent lately is not waited for longer than this: the job can be kept
   * without it. One that replies is only slow, and keeping jobs without it would add to its load:
   * each then takes three state changes instead of one.
   */
  private static final long SILENT_LEADER_SUBMIT_TIMEOUT_MICROS = 150_000;

  /** As long as the leader replies to others. */
  private static final long LIVE_LEADER_SUBMIT_TIMEOUT_MICROS = 600_000;

  /** A leader that replied within this time is alive. */
  private static final long RECENT_REPLY_MICROS = 300_000;

  /** A leader that did not reply is left alone for this long, where there is another way. */
  private static final long FORWARDING_PAUSE_MICROS = 500_000;

  /** After a request that no leader took, the other nodes are asked who leads. */
  private static final long LEADER_SUSPECT_MICROS = 3_000_000;

  private final Outbox outbox;
  private final LeaderlessRequestHandler leaderlessHandler;
  private String lastLeader;
  private long leaderRepliedAtMicros;
  private long forwardingPausedUntilMicros;
  private long leaderSuspectUntilMicros;

  /**
   * A forwarder.
   *
   * @param leaderlessHandler serves the requests that the leader does not
   */
  public LeaderForwarder(Outbox outbox, LeaderlessRequestHandler leaderlessHandler) {
    this.outbox = outbox;
    this.leaderlessHandler = leaderlessHandler;
  }

  /**
   * True if the request is not to be forwarded just now, as it can be served without the leader.
   */
  public boolean isForwardingPausedFor(UserRequest request, long nowMicros) {
    return !(request instanceof UserRequest.Cancel) && nowMicros < forwardingPausedUntilMicros;
  }

  /** True for a while after a request that no leader took. */
  public boolean suspectsLeader(long nowMicros) {
    return nowMicros < leaderSuspectUntilMicros;
  }

  /**
   * Sends a request to the leader, whose response is relayed to the user.
   *
   * @param message the request as it was received
   * @param request the same request, parsed
   */
  public void forward(
      String leader,
      ForwardedRequest message,
      UserRequest request,
      Responder responder,
      long nowMicros) {
    if (!leader.equals(lastLeader)) {
      // A new leader is taken to be alive.
      lastLeader = leader;
      leaderRepliedAtMicros = nowMicros;
    }
    outbox.call(
        new Target.Member(leader),
        "POST",
        PeerMessageCodec.FORWARD_PATH,
        PeerMessageCodec.encode(message),
        timeoutMicros(request, nowMicros),
        (now, status, body) ->
            onReply(request, responder, PeerMessageCodec.decodeForwardedReply(status, body), now));
  }

  private long timeoutMicros(UserRequest request, long nowMicros) {
    if (!(request instanceof UserRequest.Submit)) {
      return FORWARD_TIMEOUT_MICROS;
    }
    boolean silent = nowMicros - leaderRepliedAtMicros > RECENT_REPLY_MICROS;
    return silent ? SILENT_LEADER_SUBMIT_TIMEOUT_MICROS : LIVE_LEADER_SUBMIT_TIMEOUT_MICROS;
  }

  private void onReply(
      UserRequest request, Responder responder, ForwardedReply reply, long nowMicros) {
    if (reply instanceof ForwardedReply.Busy) {
      // It leads, and has more to do than it can: going round it would not help.
      leaderRepliedAtMicros = nowMicros;
      responder.respond(UserResponse.unavailable(ConcurrencyLimiter.BUSY_RETRY_S));
      return;
    }
    if (reply instanceof ForwardedReply.Handled handled) {
      if (handled.response().status() != HttpStatus.UNAVAILABLE) {
        leaderRepliedAtMicros = nowMicros;
        responder.respond(handled.response());
        return;
      }
    } else {
      // Only then. Guards against polls that fail for a while because the leader could not answer
      // one of them: in an outage it still knows most jobs, and nobody else knows any.
      forwardingPausedUntilMicros = nowMicros + FORWARDING_PAUSE_MICROS;
      leaderSuspectUntilMicros = nowMicros + LEADER_SUSPECT_MICROS;
    }
    leaderlessHandler.handle(request, responder);
  }
}
