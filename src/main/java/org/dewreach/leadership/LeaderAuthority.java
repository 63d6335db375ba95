package org.dewreach.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import org.dewreach.port.ConnectionPool;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.LeaseGrant;
import org.dewreach.store.LeaseResult;
import org.dewreach.wire.Codec;
import org.dewreach.wire.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Renews the lease of a term that this node leads, and counts until when the term may act.
 *
 * <p>Authority is counted from the sending of the last lease renewal that succeeded, less clock
 * drift: the state service ends a lease early for nobody, so the key cannot pass to another node
 * while authority lasts. When authority has run out but the lease turns out to have survived (an
 * outage of the state service gives leases their full time again), the same term goes on. While
 * renewals fail, every node's {@linkplain FollowerGrants grant} stands in for the lease.
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
      LEASE_TTL_MICROS - ClockDrift.within(LEASE_TTL_MICROS) - 30_000;

  /** With less authority than this left, renewals are failing: grants are asked for. */
  private static final long LOW_AUTHORITY_MICROS = 1_500_000;

  private static final long REQUEST_INTERVAL_MICROS = 400_000;
  private static final long REQUEST_TIMEOUT_MICROS = 700_000;

  /** Whether this node's term may act. */
  private enum Phase {
    /** This node does not lead. */
    OVER,
    /** Elected; a grant of this node to an earlier term may still run. */
    PENDING,
    /** The term acts while the lease or the grants last. */
    BEGUN
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

  private final KeyValueStore state;
  private final Outbox outbox;
  private final List<String> others;
  private final String self;
  private final LongConsumer onRenewed;
  private final LongConsumer onLeaseEnded;

  private final Map<String, Long> grantedUntil = new HashMap<>();
  private Phase phase = Phase.OVER;
  private Basis basis = Basis.NONE;
  private long term;
  private long leaseId;
  private long authorityUntil;
  private boolean renewing;
  private boolean failing;
  private long renewAt;
  private long askAt;

  /**
   * Without a term yet.
   *
   * @param others names of the other controllers
   * @param onRenewed told the time at which the state service confirmed a renewal
   * @param onLeaseEnded told the time at which the state service answered that the lease has ended
   */
  LeaderAuthority(
      KeyValueStore state,
      Outbox outbox,
      List<String> others,
      String self,
      LongConsumer onRenewed,
      LongConsumer onLeaseEnded) {
    this.state = state;
    this.outbox = outbox;
    this.others = others;
    this.self = self;
    this.onRenewed = onRenewed;
    this.onLeaseEnded = onLeaseEnded;
  }

  private void become(Phase next) {
    phase = next;
  }

  /** This node was elected, with a lease whose opening was sent at the given time. */
  void begin(long newTerm, long newLeaseId, long leaseSentAt, long nowMicros) {
    term = newTerm;
    leaseId = newLeaseId;
    failing = false;
    grantedUntil.clear();
    authorityUntil = leaseSentAt + AUTHORITY_MICROS;
    renewing = false;
    renewAt = nowMicros;
    become(Phase.PENDING);
  }

  /** This node leads no more. */
  void end() {
    authorityUntil = 0;
    become(Phase.OVER);
    basis = Basis.NONE;
  }

  /** The term that this node leads or last led, or 0. */
  long term() {
    return term;
  }

  /** True once this node's own grants let the term act. */
  boolean begun() {
    return phase == Phase.BEGUN;
  }

  /** Logs what authority rests on, whenever that changes. */
  private void noteBasis(long nowMicros) {
    Basis now = Basis.NONE;
    if (begun() && nowMicros < authorityUntil) {
      now = Basis.LEASE;
    } else if (holds(nowMicros)) {
      now = Basis.GRANTS;
    }
    if (now != basis) {
      LOG.info("term {}: authority {} -> {}", term, basis, now);
      basis = now;
    }
  }

  /** True while no other term can act: by the lease, or by every node's grant. */
  boolean holds(long nowMicros) {
    return begun() && nowMicros < actsUntil();
  }

  /** When authority ends, as far as it is known now. */
  long actsUntil() {
    return Math.max(authorityUntil, allGrantedUntil());
  }

  private long allGrantedUntil() {
    if (grantedUntil.size() < others.size() + 1) {
      return Long.MIN_VALUE;
    }
    return Collections.min(grantedUntil.values());
  }

  /** Called when time has passed, while this node leads. */
  void tick(FollowerGrants ownGrants, long nowMicros) {
    if (phase == Phase.PENDING && ownGrants.letAct(term, nowMicros)) {
      become(Phase.BEGUN);
    }
    noteBasis(nowMicros);
    requestGrants(ownGrants, nowMicros);
    if (!renewing && nowMicros >= renewAt) {
      renew(nowMicros);
    }
  }

  private void requestGrants(FollowerGrants ownGrants, long nowMicros) {
    if (nowMicros < askAt
        || !holds(nowMicros)
        || authorityUntil - nowMicros > LOW_AUTHORITY_MICROS) {
      return;
    }
    askAt = nowMicros + REQUEST_INTERVAL_MICROS;
    if (ownGrants.grant(term, nowMicros)) {
      grantedUntil.put(self, nowMicros + FollowerGrants.COUNTED_GRANT_MICROS);
    }
    for (String other : others) {
      requestGrant(other, nowMicros);
    }
  }

  private void requestGrant(String other, long askedAt) {
    long forTerm = term;
    outbox.call(
        new Target.Member(other),
        ConnectionPool.LEADERSHIP,
        "POST",
        Election.GRANT_PATH,
        Codec.map().put("term", forTerm),
        REQUEST_TIMEOUT_MICROS,
        (now, status, body) -> {
          if (leads(forTerm) && given(status, body)) {
            grantedUntil.merge(other, askedAt + FollowerGrants.COUNTED_GRANT_MICROS, Math::max);
          }
        });
  }

  private static boolean given(int status, JsonNode body) {
    return status == HttpStatus.OK && body != null && body.path("given").asBoolean(false);
  }

  private boolean leads(long itsTerm) {
    return phase != Phase.OVER && term == itsTerm;
  }

  private void renew(long nowMicros) {
    renewing = true;
    long forTerm = term;
    state.renewLease(
        leaseId,
        RENEW_TIMEOUT_MICROS,
        (now, result) -> {
          if (leads(forTerm)) {
            onRenewalReply(nowMicros, now, result);
          }
        });
  }

  private void onRenewalReply(long sentAt, long nowMicros, LeaseResult result) {
    renewing = false;
    if (result instanceof LeaseGrant) {
      onRenewed.accept(nowMicros);
      if (failing) {
        LOG.info("election: extensions succeed again");
      }
      failing = false;
      authorityUntil = Math.max(authorityUntil, sentAt + AUTHORITY_MICROS);
      renewAt = sentAt + RENEW_INTERVAL_MICROS;
    } else if (result instanceof LeaseResult.Expired) {
      onLeaseEnded.accept(nowMicros);
    } else {
      if (!failing) {
        LOG.info("election: renewals fail ({}); asking for grants soon", result);
      }
      failing = true;
      renewAt = nowMicros + RENEW_RETRY_MICROS;
    }
  }
}
