package org.dewreach.request;

import org.dewreach.config.Settings;
import org.dewreach.leadership.DelegateRenewer;
import org.dewreach.leadership.Election;
import org.dewreach.peer.KnownLeader;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;

/**
 * Queries the other controllers for the current leader while the key-value store does not provide
 * it.
 */
public final class LeaderDiscovery {
  /**
   * A controller without contact to the key-value store since its start queries the others after
   * this time, so that one started in an outage finds the leader soon.
   */
  private static final long STARTUP_GRACE_MICROS = 1_000_000;

  private static final long REQUEST_INTERVAL_MICROS = 500_000;

  private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;

  /** Longer than a watch of the leader key stays open without a response. */
  private static final long STORE_CONTACT_TIMEOUT_MICROS = 10_000_000;

  private final Outbox outbox;
  private final Settings settings;
  private final Election election;
  private final DelegateRenewer delegateRenewer;
  private long startedAtMicros = -1;
  private long nextRequestAtMicros;
  private int nextPeer;

  /** Creates a discovery that starts with the first tick. */
  public LeaderDiscovery(
      Outbox outbox, Settings settings, Election election, DelegateRenewer delegateRenewer) {
    this.outbox = outbox;
    this.settings = settings;
    this.election = election;
    this.delegateRenewer = delegateRenewer;
  }

  /**
   * Queries the next controller if a request is due.
   *
   * @param hasTerm true if this controller was elected and has not detected the end of its term
   * @param suspectsLeader true if a recently forwarded request got no reply from a leader
   */
  public void tick(boolean hasTerm, boolean suspectsLeader, long nowMicros) {
    if (startedAtMicros < 0) {
      startedAtMicros = nowMicros;
    }
    // A leader without authority may have a successor that it has not detected.
    boolean shouldAsk =
        hasTerm
            ? !election.hasAuthority(nowMicros)
            : isStoreUnresponsive(nowMicros) || suspectsLeader;
    if (!shouldAsk || nowMicros < nextRequestAtMicros || settings.members().isEmpty()) {
      return;
    }
    nextRequestAtMicros = nowMicros + REQUEST_INTERVAL_MICROS;
    Settings.Member member = settings.members().get(nextPeer++ % settings.members().size());
    outbox.call(
        new Target.Member(member.name()),
        "GET",
        PeerMessageCodec.LEADER_PATH,
        null,
        REQUEST_TIMEOUT_MICROS,
        (now, status, body) ->
            PeerMessageCodec.decodeKnownLeader(status, body)
                .ifPresent(known -> onReply(known, now)));
  }

  private boolean isStoreUnresponsive(long nowMicros) {
    return election.lastStoreResponseAt() < 0
        ? nowMicros - startedAtMicros > STARTUP_GRACE_MICROS
        : nowMicros - election.lastStoreResponseAt() > STORE_CONTACT_TIMEOUT_MICROS;
  }

  private void onReply(KnownLeader known, long nowMicros) {
    election.onLeaderHint(known.leader(), known.term(), nowMicros);
    delegateRenewer.onTermKnown(known.term());
  }
}
