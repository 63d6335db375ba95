package org.dewreach.request;

import org.dewreach.peer.ForwardedReply;
import org.dewreach.peer.ForwardedRequest;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.UserResponse;

/**
 * Forwards users' requests to the leader, and has them served without the leader if it does not
 * reply.
 */
public final class LeaderForwarder {
  /**
   * Users wait 2 s for the response to a query; the rest of that time is for reading the record
   * from the key-value store.
   */
  private static final long FORWARD_TIMEOUT_MICROS = 1_200_000;

  /**
   * Timeout of a submission to a leader that has not replied recently: the job can be stored
   * without it. A leader that replies is only slow, and storing jobs without it would add to its
   * load, because each job then takes three state changes instead of one.
   */
  private static final long SILENT_LEADER_SUBMIT_TIMEOUT_MICROS = 150_000;

  /** Timeout of a submission to a leader that replies to other requests. */
  private static final long LIVE_LEADER_SUBMIT_TIMEOUT_MICROS = 600_000;

  /** A leader that replied within this time counts as live. */
  private static final long RECENT_REPLY_MICROS = 300_000;

  /**
   * For this long after a forwarded request got no reply, or one from a controller that does not
   * lead, only requests that need the leader are forwarded.
   */
  private static final long FORWARDING_PAUSE_MICROS = 500_000;

  /**
   * For this long after a forwarded request got no reply, or one from a controller that does not
   * lead, the other controllers are queried for the leader.
   */
  private static final long LEADER_SUSPECT_MICROS = 3_000_000;

  private final Outbox outbox;
  private final LeaderlessRequestHandler leaderlessHandler;
  private String lastLeader;
  private long leaderRepliedAtMicros;
  private long forwardingPausedUntilMicros;
  private long leaderSuspectUntilMicros;

  /**
   * Creates a forwarder.
   *
   * @param leaderlessHandler serves the requests that the leader does not handle
   */
  public LeaderForwarder(Outbox outbox, LeaderlessRequestHandler leaderlessHandler) {
    this.outbox = outbox;
    this.leaderlessHandler = leaderlessHandler;
  }

  /**
   * True if forwarding is paused and the request can be served without the leader, which holds for
   * all but cancellations.
   */
  public boolean isForwardingPausedFor(UserRequest request, long nowMicros) {
    return !(request instanceof UserRequest.Cancel) && nowMicros < forwardingPausedUntilMicros;
  }

  /**
   * True for a while after a forwarded request got no reply, or one from a controller that does not
   * lead.
   */
  public boolean suspectsLeader(long nowMicros) {
    return nowMicros < leaderSuspectUntilMicros;
  }

  /**
   * Sends a request to the leader, and relays its response to the user.
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
      // A new leader is assumed to be live.
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
      // The leader is overloaded. Serving the request without it would not reduce its load.
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
      // Forwarding is paused only here, and continues after a 503 from the leader itself. Guards
      // against queries that fail for a while because the leader could not respond to one of them:
      // in an outage of the key-value store it still has most jobs in memory, and no other
      // controller has any.
      forwardingPausedUntilMicros = nowMicros + FORWARDING_PAUSE_MICROS;
      leaderSuspectUntilMicros = nowMicros + LEADER_SUSPECT_MICROS;
    }
    leaderlessHandler.handle(request, responder);
  }
}
