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
import org.dewreach.store.ResultHandler;
import org.dewreach.wire.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Renews the leader lease of a term that this controller leads, and computes until when the term
 * has authority.
 *
 * <p>Authority is counted from the time at which the last successful lease renewal was sent, less
 * clock drift: the key-value store never expires a lease early, so the leader key cannot pass to
 * another controller while authority lasts. If authority has expired but the lease turns out to
 * have survived (after an outage, the key-value store gives leases their full time to live again),
 * the same term continues. While renewals fail, authority is based on {@linkplain FollowerGrants
 * grants} of all controllers.
 */
final class LeaderAuthority {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderAuthority.class);

  /** Time to live of the leader lease: short enough for a takeover well within a worker's lease. */
  static final long LEASE_TTL_MICROS = 2_600_000;

  private static final long RENEW_INTERVAL_MICROS = 550_000;
  private static final long RENEW_TIMEOUT_MICROS = 800_000;
  private static final long RENEW_RETRY_MICROS = 150_000;

  /** The time to live of the lease, less clock drift and 30 ms for the granularity of timers. */
  private static final long AUTHORITY_MICROS =
      LEASE_TTL_MICROS - ClockDrift.maxOver(LEASE_TTL_MICROS) - 30_000;

  /** With less authority than this left, renewals are failing, and grants are requested. */
  private static final long LOW_AUTHORITY_MICROS = 1_500_000;

  private static final long GRANT_REQUEST_INTERVAL_MICROS = 400_000;
  private static final long GRANT_REQUEST_TIMEOUT_MICROS = 700_000;

  /** Whether the term of this controller may act. */
  private enum Phase {
    /** This controller does not lead. */
    NOT_LEADING,
    /** Elected, but a grant of this controller to an earlier term may still be in force. */
    AWAITING_OWN_GRANTS,
    /** The term may act while the lease or the grants last. */
    ACTIVE
  }

  /** The basis on which the term has authority. */
  private enum Basis {
    /** The term has no authority. */
    NONE,
    /** The leader lease. */
    LEASE,
    /** The grants of all controllers, while the lease cannot be renewed. */
    GRANTS
  }

  private final KeyValueStore store;
  private final Outbox outbox;
  private final List<String> others;
  private final String self;
  private final ResultHandler<LeaseResult> onRenewalResult;
  private final LongConsumer onLeaseExpired;

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
   * Creates an authority without a term.
   *
   * @param others names of the other controllers
   * @param onRenewalResult receives the result of each renewal of the lease
   * @param onLeaseExpired receives the time at which the key-value store reported that the lease
   *     has expired
   */
  LeaderAuthority(
      KeyValueStore store,
      Outbox outbox,
      List<String> others,
      String self,
      ResultHandler<LeaseResult> onRenewalResult,
      LongConsumer onLeaseExpired) {
    this.store = store;
    this.outbox = outbox;
    this.others = others;
    this.self = self;
    this.onRenewalResult = onRenewalResult;
    this.onLeaseExpired = onLeaseExpired;
  }

  private void changePhase(Phase next) {
    phase = next;
  }

  /**
   * Starts a term for which this controller was elected, with a lease that was requested at the
   * given time.
   */
  void begin(long newTerm, long newLeaseId, long leaseRequestedAt, long nowMicros) {
    term = newTerm;
    leaseId = newLeaseId;
    renewalsFailing = false;
    grantedUntil.clear();
    leaseAuthorityUntil = leaseRequestedAt + AUTHORITY_MICROS;
    renewalInFlight = false;
    nextRenewalAt = nowMicros;
    changePhase(Phase.AWAITING_OWN_GRANTS);
  }

  /** Ends the term: this controller no longer leads. */
  void end() {
    leaseAuthorityUntil = 0;
    changePhase(Phase.NOT_LEADING);
    basis = Basis.NONE;
  }

  /** The term that this controller leads or led last, or 0. */
  long term() {
    return term;
  }

  /** True once this controller's own grants have admitted the term. */
  boolean active() {
    return phase == Phase.ACTIVE;
  }

  /** True while renewals of the lease fail. */
  boolean renewalsFailing() {
    return renewalsFailing;
  }

  /** Logs the basis of authority whenever it changes. */
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

  /**
   * True while no other term can act, on the basis of the lease or of grants of all controllers.
   */
  boolean holds(long nowMicros) {
    return active() && nowMicros < authorityEndsAt();
  }

  /** Returns when authority ends, as far as it is known now. */
  long authorityEndsAt() {
    return Math.max(leaseAuthorityUntil, allGrantedUntil());
  }

  private long allGrantedUntil() {
    if (grantedUntil.size() < others.size() + 1) {
      return Long.MIN_VALUE;
    }
    return Collections.min(grantedUntil.values());
  }

  /**
   * Renews the lease and requests grants where due; called periodically while this controller
   * leads.
   */
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
    onRenewalResult.onResult(nowMicros, result);
    if (result instanceof LeaseGrant) {
      if (renewalsFailing) {
        LOG.info("lease renewals succeed again: term={}", term);
      }
      renewalsFailing = false;
      leaseAuthorityUntil = Math.max(leaseAuthorityUntil, sentAt + AUTHORITY_MICROS);
      nextRenewalAt = sentAt + RENEW_INTERVAL_MICROS;
    } else if (result instanceof LeaseResult.Expired) {
      onLeaseExpired.accept(nowMicros);
    } else {
      if (!renewalsFailing) {
        LOG.info("lease renewals fail: term={} result={}", term, result);
      }
      renewalsFailing = true;
      nextRenewalAt = nowMicros + RENEW_RETRY_MICROS;
    }
  }
}
