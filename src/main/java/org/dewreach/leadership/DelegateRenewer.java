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
 * Renews the leases of the workers in this controller's zone for a limited time after it has lost
 * contact with the other controllers.
 *
 * <p>In a network partition that isolates a zone, its workers reach only the controllers inside the
 * zone. Their tasks continue, but without a response under the term's fencing token they end when
 * the lease expires, a third of all replicas at once. The leader therefore delegates to every
 * controller the right to respond to heartbeats, without any command, for a limited time after its
 * last contact. {@link LeaseDelegations} is the leader's side and explains how the leader accounts
 * for these renewals.
 *
 * <p>A delegation is used only as a last resort: by a controller that receives responses neither
 * from the leader nor from the key-value store, and for workers that have tried other controllers.
 */
public final class DelegateRenewer {
  private static final Logger LOG = LoggerFactory.getLogger(DelegateRenewer.class);

  /**
   * Time without contact after which this controller may renew leases: longer than the leader lease
   * lasts without renewal.
   */
  static final long ISOLATION_TIMEOUT_MICROS = 3_000_000;

  private static final long REQUEST_INTERVAL_MICROS = 1_000_000;
  private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;

  /** Whether this controller renews worker leases in place of the leader. */
  private enum Phase {
    /** In contact with the other controllers, or without a delegation. */
    IDLE,
    /** Out of contact: renewing leases under the delegation. */
    ACTIVE
  }

  private final Outbox outbox;
  private final KeyValueStore store;
  private final String self;
  private final String zone;

  /**
   * Machines whose workers followed this controller as the leader and that it has redirected once
   * since it stopped leading.
   */
  private final Set<String> redirected = new HashSet<>();

  private boolean wasLeader;
  private Phase phase = Phase.IDLE;
  private long term;
  private long delegatedUntil;
  private long lastContactAt;
  private long lastStoreResponseAt = -ISOLATION_TIMEOUT_MICROS;
  private long lastRenewalAt = DelegationRequest.NOT_YET_OCCURRED;
  private long lastResponseTimestamp = DelegationRequest.NOT_YET_OCCURRED;
  private String lastResponder = "";
  private long nextRequestAt;
  private long nextProbeAt;

  /** Creates a renewer without a delegation. */
  public DelegateRenewer(Outbox outbox, KeyValueStore store, Settings settings) {
    this.outbox = outbox;
    this.store = store;
    this.self = settings.name();
    this.zone = settings.zone();
  }

  private void changePhase(Phase next, String reason) {
    if (phase != next) {
      LOG.info(
          "delegate phase changed: term={} from={} to={} reason=\"{}\"", term, phase, next, reason);
      phase = next;
    }
  }

  /**
   * Requests delegations and probes the key-value store where due; called periodically.
   *
   * @param leader the name of the leader as last read or received by this controller, or null
   */
  public void tick(String leader, long nowMicros) {
    if (leader != null && !leader.equals(self) && nowMicros >= nextRequestAt) {
      nextRequestAt = nowMicros + REQUEST_INTERVAL_MICROS;
      requestDelegation(leader, nowMicros);
    }
    boolean contactOverdue = nowMicros - lastContactAt >= REQUEST_INTERVAL_MICROS;
    if (contactOverdue && nowMicros < delegatedUntil && nowMicros >= nextProbeAt) {
      nextProbeAt = nowMicros + REQUEST_INTERVAL_MICROS;
      // A controller that reaches the key-value store is not isolated, and reads there which
      // controller leads.
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
          Phase.IDLE, nowMicros < delegatedUntil ? "in contact again" : "delegation expired");
    }
  }

  private void requestDelegation(String leader, long nowMicros) {
    // Event time starts at 0 with the process, so it is also the uptime.
    DelegationRequest request =
        new DelegationRequest(
            self,
            nowMicros,
            lastRenewalAt < 0 ? DelegationRequest.NOT_YET_OCCURRED : nowMicros - lastRenewalAt,
            leader.equals(lastResponder)
                ? lastResponseTimestamp
                : DelegationRequest.NOT_YET_OCCURRED);
    outbox.call(
        new Target.Member(leader),
        "POST",
        PeerMessageCodec.DELEGATION_PATH,
        PeerMessageCodec.encode(request),
        REQUEST_TIMEOUT_MICROS,
        (now, status, body) -> {
          if (status == HttpStatus.OK && body != null) {
            onResponse(leader, PeerMessageCodec.decodeDelegationResponse(body), nowMicros, now);
          }
        });
  }

  private void onResponse(String leader, DelegationResponse response, long sentAt, long nowMicros) {
    if (response.term() < Math.max(1, term)) {
      return;
    }
    term = response.term();
    // Counted from when the request was sent, which is before the leader's own count starts, and
    // less clock drift.
    long delegatedMicros = response.delegatedMicros();
    delegatedUntil = sentAt + delegatedMicros - ClockDrift.maxOver(delegatedMicros);
    lastResponseTimestamp = response.timestampMicros();
    lastResponder = leader;
    recordContact(false, nowMicros);
  }

  /**
   * Records that this controller leads and has authority at this time.
   *
   * @param delegatedMicros for how long it may renew leases after it has lost its authority
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

  /** Ends the delegation if it was made by a term earlier than the given one. */
  public void onTermKnown(long latestTerm) {
    if (latestTerm > term) {
      delegatedUntil = 0;
    }
  }

  /** The time at which this controller last renewed a lease as a delegate, or -1. */
  public long lastRenewalAt() {
    return lastRenewalAt;
  }

  /** The time at which the delegation ends, after which no renewal may be sent. */
  public long delegatedUntil() {
    return delegatedUntil;
  }

  private boolean mayRenew(long nowMicros) {
    return nowMicros < delegatedUntil
        && nowMicros - lastContactAt >= ISOLATION_TIMEOUT_MICROS
        && nowMicros - lastStoreResponseAt >= ISOLATION_TIMEOUT_MICROS;
  }

  /**
   * Renews the lease of the heartbeat's sender in place of the leader; returns false if that is not
   * permitted.
   */
  public boolean tryRenew(Heartbeat heartbeat, long nowMicros) {
    if (!heartbeat.zone().equals(zone) || heartbeat.token() > term) {
      return false;
    }
    // A worker that followed this controller until now has not tried another one, and may well
    // reach one. The redirect is recorded even before this controller may renew: a worker that was
    // redirected twice would return only after its lease had expired.
    boolean triedOthers = !wasLeader || !redirected.add(heartbeat.machine());
    if (!triedOthers || !mayRenew(nowMicros)) {
      return false;
    }
    changePhase(Phase.ACTIVE, "out of contact");
    lastRenewalAt = nowMicros;
    return true;
  }

  /** Returns the response to a heartbeat whose lease was renewed; it carries no commands. */
  public HeartbeatResponse heartbeatResponse() {
    return HeartbeatResponse.withoutCommands(term);
  }
}
