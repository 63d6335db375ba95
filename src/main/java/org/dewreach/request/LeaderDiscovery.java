package org.dewreach.request;

import org.dewreach.config.Settings;
import org.dewreach.leadership.DelegateRenewer;
import org.dewreach.leadership.Election;
import org.dewreach.peer.KnownLeader;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;

/** Asks the other nodes who leads while the key-value store does not tell. */
public final class LeaderDiscovery {
  /** A node started in an outage asks the others soon. */
  private static final long STARTUP_GRACE_MICROS = 1_000_000;

  private static final long REQUEST_INTERVAL_MICROS = 500_000;

  private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;

  /** Longer than a watch of the leader key stays open without an answer. */
  private static final long STORE_CONTACT_TIMEOUT_MICROS = 10_000_000;

  private final Outbox outbox;
  private final Settings settings;
  private final Election election;
  private final DelegateRenewer delegateRenewer;
  private long startedAtMicros = -1;
  private long nextRequestAtMicros;
  private int nextPeer;

  /** A discovery that starts with the first tick. */
  public LeaderDiscovery(
      Outbox outbox, Settings settings, Election election, DelegateRenewer delegateRenewer) {
    this.outbox = outbox;
    this.settings = settings;
    this.election = election;
    this.delegateRenewer = delegateRenewer;
  }

  /**
   * Asks the next node if it is due.
   *
   * @param hasTerm true if this node was elected and has not noticed the end of its term
   * @param suspectsLeader true if a recent request to the known leader was not handled by it
   */
  public void tick(boolean hasTerm, boolean suspectsLeader, long nowMicros) {
    if (startedAtMicros < 0) {
      startedAtMicros = nowMicros;
    }
    // A leader without authority may have been followed by another one without noticing.
    boolean ask =
        hasTerm
            ? !election.hasAuthority(nowMicros)
            : isStoreUnresponsive(nowMicros) || suspectsLeader;
    if (!ask || nowMicros < nextRequestAtMicros || settings.members().isEmpty()) {
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
