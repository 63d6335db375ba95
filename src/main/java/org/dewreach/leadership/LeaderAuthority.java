package org.dewreach.leadership;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import org.dewreach.peer.GrantRequest;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.ConnectionPool;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.LeaseGrant;
import org.dewreach.store.LeaseResult;
import org.dewreach.wire.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Renews the lease of a term that this node leads, and counts until when the term may act.
 *
 * <p>Authority is counted from the sending of the last lease renewal that succeeded, less clock
 * drift: the key-value store never ends a lease early, so the key cannot pass to another node while
 * authority lasts. When authority has run out but the lease turns out to have survived (an outage
 * of the key-value store gives leases their full time again), the same term goes on. While renewals
 * fail, authority rests on {@linkplain FollowerGrants grants} of all nodes.
 */
final class LeaderAuthority {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderAuthority.class);

  /**
   * Length of the lease. A default of this project: short enough to take over well within a
   * worker's lease.
   */
  static final long LEASE_TTL_MICROS = 2_600_000;

  private static final long RENEW_INTERVAL_MICROS = 550_000;
  private static final long RENEW_TIMEOUT_MICROS = 800_000;
  private static final long RENEW_RETRY_MICROS = 150_000;

  /** The length of the lease less clock drift, and a little for timer steps. */
  private static final long AUTHORITY_MICROS =
      LEASE_TTL_MICROS - ClockDrift.maxOver(LEASE_TTL_MICROS) - 30_000;

  /** With less authority than this left, renewals are failing: grants are asked for. */
  private static final long LOW_AUTHORITY_MICROS = 1_500_000;

  private static final long GRANT_REQUEST_INTERVAL_MICROS = 400_000;
  private static final long GRANT_REQUEST_TIMEOUT_MICROS = 700_000;

  /** Whether this node's term may act. */
  private enum Phase {
    /** This node does not lead. */
    NOT_LEADING,
    /** Elected; a grant of this node to an earlier term may still run. */
    AWAITING_OWN_GRANTS,
    /** The term acts while the lease or the grants last. */
    ACTIVE
  }

  /** What authority rests on. */
  private enum Basis {
    /** Nothing: there is none. */
    NONE,
    /** The leader lease. */
    LEASE,
    /** Grants of all controllers, while the lease cannot be renewed. */
    GRANTS
  }

  private final KeyValueStore store;
  private final Outbox outbox;
  private final List<String> others;
  private final String self;
  private final LongConsumer onRenewed;
  private final LongConsumer onLeaseEnded;

  private final Map<String, Long> grantedUntil = new HashMap<>();
  private Phase phase = Phase.NOT_LEADING;
  private Basis basis = Basis.NONE;
  private long term;
  private long leaseId;
  private long leaseAuthorityUntil;
  private boolean renewalInFlight;
  private boolean renewalsFailing;
  private long nextRenewalAt;
  private long nextGrantRequestAt;

  /**
   * Without a term yet.
   *
   * @param others names of the other controllers
   * @param onRenewed takes the time at which the key-value store confirmed a renewal
   * @param onLeaseEnded takes the time at which the key-value store reported the lease expired
   */
  LeaderAuthority(
      KeyValueStore store,
      Outbox outbox,
      List<String> others,
      String self,
      LongConsumer onRenewed,
      LongConsumer onLeaseEnded) {
    this.store = store;
    this.outbox = outbox;
    this.others = others;
    this.self = self;
    this.onRenewed = onRenewed;
    this.onLeaseEnded = onLeaseEnded;
  }

  private void changePhase(Phase next) {
    phase = next;
  }

  /** This node was elected, with a lease whose opening was sent at the given time. */
  void begin(long newTerm, long newLeaseId, long leaseSentAt, long nowMicros) {
    term = newTerm;
    leaseId = newLeaseId;
    renewalsFailing = false;
    grantedUntil.clear();
    leaseAuthorityUntil = leaseSentAt + AUTHORITY_MICROS;
    renewalInFlight = false;
    nextRenewalAt = nowMicros;
    changePhase(Phase.AWAITING_OWN_GRANTS);
  }

  /** This node leads no more. */
  void end() {
    leaseAuthorityUntil = 0;
    changePhase(Phase.NOT_LEADING);
    basis = Basis.NONE;
  }

  /** The term that this node leads or last led, or 0. */
  long term() {
    return term;
  }

  /** True once this node's own grants let the term act. */
  boolean active() {
    return phase == Phase.ACTIVE;
  }

  /** Logs what authority rests on, whenever that changes. */
  private void logBasisChange(long nowMicros) {
    Basis now = Basis.NONE;
    if (active() && nowMicros < leaseAuthorityUntil) {
      now = Basis.LEASE;
    } else if (holds(nowMicros)) {
      now = Basis.GRANTS;
    }
    if (now != basis) {
      LOG.info("authority basis changed: term={} from={} to={}", term, basis, now);
      basis = now;
    }
  }

  /** True while no other term can act: by the lease, or by every node's grant. */
  boolean holds(long nowMicros) {
    return active() && nowMicros < authorityEndsAt();
  }

  /** When authority ends, as far as it is known now. */
  long authorityEndsAt() {
    return Math.max(leaseAuthorityUntil, allGrantedUntil());
  }

  private long allGrantedUntil() {
    if (grantedUntil.size() < others.size() + 1) {
      return Long.MIN_VALUE;
    }
    return Collections.min(grantedUntil.values());
  }

  /** Called when time has passed, while this node leads. */
  void tick(FollowerGrants ownGrants, long nowMicros) {
    if (phase == Phase.AWAITING_OWN_GRANTS && ownGrants.admitTerm(term, nowMicros)) {
      changePhase(Phase.ACTIVE);
    }
    logBasisChange(nowMicros);
    requestGrants(ownGrants, nowMicros);
    if (!renewalInFlight && nowMicros >= nextRenewalAt) {
      renew(nowMicros);
    }
  }

  private void requestGrants(FollowerGrants ownGrants, long nowMicros) {
    if (nowMicros < nextGrantRequestAt
        || !holds(nowMicros)
        || leaseAuthorityUntil - nowMicros > LOW_AUTHORITY_MICROS) {
      return;
    }
    nextGrantRequestAt = nowMicros + GRANT_REQUEST_INTERVAL_MICROS;
    if (ownGrants.grant(term, nowMicros)) {
      grantedUntil.put(self, nowMicros + FollowerGrants.COUNTED_GRANT_DURATION_MICROS);
    }
    for (String other : others) {
      requestGrant(other, nowMicros);
    }
  }

  private void requestGrant(String other, long sentAt) {
    long forTerm = term;
    outbox.call(
        new Target.Member(other),
        ConnectionPool.LEADERSHIP,
        "POST",
        PeerMessageCodec.GRANT_PATH,
        PeerMessageCodec.encode(new GrantRequest(forTerm)),
        GRANT_REQUEST_TIMEOUT_MICROS,
        (now, status, body) -> {
          boolean granted =
              status == HttpStatus.OK && PeerMessageCodec.decodeGrantResponse(body).granted();
          if (granted && leads(forTerm)) {
            grantedUntil.merge(
                other, sentAt + FollowerGrants.COUNTED_GRANT_DURATION_MICROS, Math::max);
          }
        });
  }

  private boolean leads(long otherTerm) {
    return phase != Phase.NOT_LEADING && term == otherTerm;
  }

  private void renew(long nowMicros) {
    renewalInFlight = true;
    long forTerm = term;
    store.renewLease(
        leaseId,
        RENEW_TIMEOUT_MICROS,
        (now, result) -> {
          if (leads(forTerm)) {
            onRenewalResponse(nowMicros, now, result);
          }
        });
  }

  private void onRenewalResponse(long sentAt, long nowMicros, LeaseResult result) {
    renewalInFlight = false;
    if (result instanceof LeaseGrant) {
      onRenewed.accept(nowMicros);
      if (renewalsFailing) {
        LOG.info("lease renewals succeed again: term={}", term);
      }
      renewalsFailing = false;
      leaseAuthorityUntil = Math.max(leaseAuthorityUntil, sentAt + AUTHORITY_MICROS);
      nextRenewalAt = sentAt + RENEW_INTERVAL_MICROS;
    } else if (result instanceof LeaseResult.Expired) {
      onLeaseEnded.accept(nowMicros);
    } else {
      if (!renewalsFailing) {
        LOG.info("lease renewals fail: term={} result={}", term, result);
      }
      renewalsFailing = true;
      nextRenewalAt = nowMicros + RENEW_RETRY_MICROS;
    }
  }
}
