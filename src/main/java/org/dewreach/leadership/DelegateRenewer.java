package org.dewreach.leadership;

import java.util.HashSet;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.peer.DelegationRequest;
import org.dewreach.peer.DelegationResponse;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.RequestFailure;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.HeartbeatResponse;
import org.dewreach.wire.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Renews the leases of its own zone's workers for a while when this node has lost contact with all
 * others.
 *
 * <p>When a zone is cut off, its workers reach only the controllers inside. Their tasks run on, but
 * without an answer under the term's token they die with the lease, a third of all replicas at
 * once. So the leader delegates to every node the right to answer heartbeats, without any command,
 * for a while beyond their last contact. {@link LeaseDelegations} is the leader's side and says why
 * no rule is broken.
 *
 * <p>It is used only as a last resort: by a node that hears neither the leader nor the state
 * service, and for workers that have tried other nodes.
 */
public final class DelegateRenewer {
  private static final Logger LOG = LoggerFactory.getLogger(DelegateRenewer.class);

  /**
   * Out of contact for this long, longer than a lease lasts without its leader. A default of this
   * project.
   */
  static final long ISOLATION_TIMEOUT_MICROS = 3_000_000;

  private static final long REQUEST_INTERVAL_MICROS = 1_000_000;
  private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;

  /** Whether this node renews worker leases in place of the leader. */
  private enum Phase {
    /** In contact with the others, or without a delegation. */
    IDLE,
    /** Out of contact: renewing leases under the delegation. */
    ACTIVE
  }

  private final Outbox outbox;
  private final KeyValueStore store;
  private final String self;
  private final String zone;

  /**
   * Machines that followed this node as the leader and that it has redirected once since it lost
   * the lead.
   */
  private final Set<String> redirected = new HashSet<>();

  private boolean wasLeader;

  private Phase phase = Phase.IDLE;
  private long term;
  private long delegatedUntil;
  private long lastContactAt;
  private long lastStoreResponseAt = -ISOLATION_TIMEOUT_MICROS;
  private long lastRenewalAt = DelegationRequest.NONE;
  private long lastResponseMark = DelegationRequest.NONE;
  private String lastResponder = "";
  private long nextRequestAt;
  private long nextProbeAt;

  /** Without a delegation yet. */
  public DelegateRenewer(Outbox outbox, KeyValueStore store, Settings settings) {
    this.outbox = outbox;
    this.store = store;
    this.self = settings.name();
    this.zone = settings.zone();
  }

  private void changePhase(Phase next, String why) {
    if (phase != next) {
      LOG.info(
          "delegate phase changed: term={} from={} to={} reason=\"{}\"", term, phase, next, why);
      phase = next;
    }
  }

  /** Called when time has passed, with the leader as this node knows it. */
  public void tick(String leader, long nowMicros) {
    if (leader != null && !leader.equals(self) && nowMicros >= nextRequestAt) {
      nextRequestAt = nowMicros + REQUEST_INTERVAL_MICROS;
      requestDelegation(leader, nowMicros);
    }
    boolean lost = nowMicros - lastContactAt >= REQUEST_INTERVAL_MICROS;
    if (lost && nowMicros < delegatedUntil && nowMicros >= nextProbeAt) {
      nextProbeAt = nowMicros + REQUEST_INTERVAL_MICROS;
      // A node that reaches the key-value store is not cut off, and learns there who leads.
      store.get(
          Keys.LEADER,
          (now, result) -> {
            if (!(result instanceof RequestFailure)) {
              lastStoreResponseAt = now;
            }
          });
    }
    if (phase == Phase.ACTIVE && !mayRenew(nowMicros)) {
      changePhase(
          Phase.IDLE, nowMicros < delegatedUntil ? "in contact again" : "the delegation ended");
    }
  }

  private void requestDelegation(String leader, long nowMicros) {
    // Event time counts from the start of the process.
    DelegationRequest request =
        new DelegationRequest(
            self,
            nowMicros,
            lastRenewalAt < 0 ? DelegationRequest.NONE : nowMicros - lastRenewalAt,
            leader.equals(lastResponder) ? lastResponseMark : DelegationRequest.NONE);
    outbox.call(
        new Target.Member(leader),
        "POST",
        PeerMessageCodec.DELEGATION_PATH,
        PeerMessageCodec.encode(request),
        REQUEST_TIMEOUT_MICROS,
        (now, status, answer) -> {
          if (status == HttpStatus.OK && answer != null) {
            onResponse(leader, PeerMessageCodec.decodeDelegationResponse(answer), nowMicros, now);
          }
        });
  }

  private void onResponse(String leader, DelegationResponse response, long sentAt, long nowMicros) {
    if (response.term() < Math.max(1, term)) {
      return;
    }
    term = response.term();
    // Counted from the sending, which was before the leader counted, and less drift.
    long delegatedMicros = response.delegatedMicros();
    delegatedUntil = sentAt + delegatedMicros - ClockDrift.maxOver(delegatedMicros);
    lastResponseMark = response.timestampMicros();
    lastResponder = leader;
    recordContact(false, nowMicros);
  }

  /**
   * This node leads, with authority at this time.
   *
   * @param delegatedMicros what it may go on for after its authority
   */
  public void onLeading(long ownTerm, long delegatedMicros, long nowMicros) {
    term = ownTerm;
    delegatedUntil = nowMicros + delegatedMicros - ClockDrift.maxOver(delegatedMicros);
    recordContact(true, nowMicros);
  }

  private void recordContact(boolean asLeader, long nowMicros) {
    lastContactAt = nowMicros;
    wasLeader = asLeader;
    redirected.clear();
  }

  /** A later term is known of: what an earlier one delegated ends. */
  public void onTermKnown(long latestTerm) {
    if (latestTerm > term) {
      delegatedUntil = 0;
    }
  }

  /** When this node last renewed a lease as a delegate, or -1. */
  public long lastRenewalAt() {
    return lastRenewalAt;
  }

  /** The end of the delegation, after which no renewal may be sent. */
  public long delegatedUntil() {
    return delegatedUntil;
  }

  private boolean mayRenew(long nowMicros) {
    return nowMicros < delegatedUntil
        && nowMicros - lastContactAt >= ISOLATION_TIMEOUT_MICROS
        && nowMicros - lastStoreResponseAt >= ISOLATION_TIMEOUT_MICROS;
  }

  /** Renews the lease of the heartbeat's sender in place of the leader; false if it may not. */
  public boolean tryRenew(Heartbeat heartbeat, long nowMicros) {
    if (!heartbeat.zone().equals(zone) || heartbeat.token() > term) {
      return false;
    }
    // A worker that followed this node until now has tried no other, and may well reach one.
    // Recorded also before this node may renew: redirected twice, it would be back after its lease
    // expired.
    boolean triedOthers = !wasLeader || !redirected.add(heartbeat.machine());
    if (!triedOthers || !mayRenew(nowMicros)) {
      return false;
    }
    changePhase(Phase.ACTIVE, "out of contact");
    lastRenewalAt = nowMicros;
    return true;
  }

  /** The response to a heartbeat that was renewed: it carries no commands. */
  public HeartbeatResponse heartbeatResponse() {
    return HeartbeatResponse.withoutCommands(term);
  }
}
