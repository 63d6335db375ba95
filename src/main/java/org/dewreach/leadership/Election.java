package org.dewreach.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.dewreach.port.Calls;
import org.dewreach.port.ConnectionPool;
import org.dewreach.port.Target;
import org.dewreach.store.Change;
import org.dewreach.store.Condition;
import org.dewreach.store.Keys;
import org.dewreach.store.StateService;
import org.dewreach.wire.Codec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller's part in choosing the leader.
 *
 * <p>Authority is counted from the sending of the last lease renewal that succeeded, less clock
 * drift: the state service ends a lease early for nobody, so the key cannot pass to another node
 * while authority lasts. When authority has run out but the lease turns out to have survived (an
 * outage of the state service gives leases their full time again), the same term goes on. While
 * renewals fail, every node's {@linkplain FollowerGrants grant} stands in for the lease.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);

  /**
   * Length of the lease. A default of this project: short enough to take over well within a
   * worker's lease.
   */
  static final long LEASE_TTL_MICROS = 2_600_000;

  private static final long RENEW_INTERVAL_MICROS = 550_000;
  private static final long RENEW_TIMEOUT_MICROS = 800_000;
  private static final long RENEW_RETRY_MICROS = 150_000;

  /** Two clocks that drift by up to 0.05% each, doubled, and a little for timer steps. */
  private static final long AUTHORITY_MICROS = LEASE_TTL_MICROS - LEASE_TTL_MICROS / 500 - 30_000;

  private static final long WATCH_MS = 8_000;

  /** A node that gave up the lead lets others claim it first. A default of this project. */
  private static final long RESIGNED_MICROS = 10_000_000;

  /** With less authority than this left, renewals are failing: grants are asked for. */
  private static final long LOW_AUTHORITY_MICROS = 1_500_000;

  private static final long REQUEST_INTERVAL_MICROS = 400_000;
  private static final long REQUEST_TIMEOUT_MICROS = 700_000;

  /** Where a node is asked for a grant. */
  public static final String GRANT_PATH = "/peer/promise";

  /** What this controller is in the election. */
  public enum State {
    /** Learning who leads. */
    FOLLOWING,
    /** The key is absent: waiting a moment so that not all nodes claim it at once. */
    WAITING,
    /** Opening a lease for the claim. */
    OPENING,
    /** Writing the leader key. */
    CLAIMING,
    /** The claim had no clear answer: reading who holds the key. */
    VERIFYING,
    /** Holding the key. */
    LEADING
  }

  /** What the rest of the core wants to know. */
  public interface Listener {
    void onElected(long nowMicros, long term);

    void onDeposed(long nowMicros, long term);
  }

  private final StateService state;
  private final Calls calls;
  private final List<String> others;
  private final String self;
  private final String boot;
  private final RandomGenerator random;
  private final Listener listener;

  private State phase = State.FOLLOWING;
  private String leader;
  private boolean leaderAbsent;
  private long seenRevision;
  private long leaderStamp;
  private long claimNotBefore;
  private boolean reading;
  private boolean watching;
  private long readAgainAt;
  private long claimAt;
  private long leaseId;
  private long leaseSentAt;
  private long term;
  private long authorityUntil;
  private boolean extending;
  private boolean failing;
  private long extendAt;
  private long lastContact = -1;
  private FollowerGrants followerGrants;
  private boolean mayAct;
  private long askAt;
  private final Map<String, Long> grantedUntil = new HashMap<>();

  public Election(
      StateService state,
      Calls calls,
      List<String> others,
      String self,
      String boot,
      RandomGenerator random,
      Listener listener) {
    this.state = state;
    this.calls = calls;
    this.others = others;
    this.self = self;
    this.boot = boot;
    this.random = random;
    this.listener = listener;
  }

  public State phase() {
    return phase;
  }

  /** Name of the leader as last seen, or null. */
  public String leader() {
    return phase == State.LEADING ? self : leader;
  }

  /** True if the key was last seen absent: nobody leads then. */
  public boolean leaderAbsent() {
    return leaderAbsent && phase != State.LEADING;
  }

  public long term() {
    return term;
  }

  /** True while no other term can act: by the lease, or by every node's grant. */
  public boolean hasAuthority(long nowMicros) {
    return phase == State.LEADING && mayAct && nowMicros < actsUntil();
  }

  /** When authority ends, as far as it is known now. */
  public long actsUntil() {
    return Math.max(authorityUntil, allGrantedUntil());
  }

  private long allGrantedUntil() {
    if (grantedUntil.size() < others.size() + 1) {
      return Long.MIN_VALUE;
    }
    return Collections.min(grantedUntil.values());
  }

  /** Another node's leader asks this one to let no later term act for a while. */
  public boolean grant(long forTerm, long nowMicros) {
    return followerGrants != null
        && phase != State.LEADING
        && followerGrants.grant(forTerm, nowMicros);
  }

  private void requestGrants(long nowMicros) {
    if (nowMicros < askAt
        || !hasAuthority(nowMicros)
        || authorityUntil - nowMicros > LOW_AUTHORITY_MICROS) {
      return;
    }
    askAt = nowMicros + REQUEST_INTERVAL_MICROS;
    if (followerGrants.grant(term, nowMicros)) {
      grantedUntil.put(self, nowMicros + FollowerGrants.COUNTED_GRANT_MICROS);
    }
    long forTerm = term;
    for (String other : others) {
      calls.call(
          new Target.Member(other),
          ConnectionPool.LEADERSHIP,
          "POST",
          GRANT_PATH,
          Codec.map().put("term", forTerm),
          REQUEST_TIMEOUT_MICROS,
          (now, status, body) -> {
            boolean given = status == 200 && body != null && body.path("given").asBoolean(false);
            if (given && phase == State.LEADING && term == forTerm) {
              grantedUntil.merge(other, nowMicros + FollowerGrants.COUNTED_GRANT_MICROS, Math::max);
            }
          });
    }
  }

  /** When the state service last answered this node, or -1. */
  public long lastContact() {
    return lastContact;
  }

  private void become(State next, String why) {
    if (phase != next) {
      LOG.info("election: {} -> {} ({})", phase, next, why);
      phase = next;
    }
  }

  /** Called when time has passed. */
  public void tick(long nowMicros) {
    if (followerGrants == null) {
      // Event time counts from the start of the process, before which it granted nothing.
      followerGrants = new FollowerGrants(0);
    }
    switch (phase) {
      case LEADING -> {
        if (!mayAct && followerGrants.letAct(term, nowMicros)) {
          mayAct = true;
        }
        requestGrants(nowMicros);
        if (!extending && nowMicros >= extendAt) {
          extend(nowMicros);
        }
      }
      case WAITING -> {
        if (nowMicros >= claimAt) {
          open(nowMicros);
        }
      }
      case FOLLOWING -> {
        if (!reading && !watching && nowMicros >= readAgainAt) {
          read(nowMicros);
        }
      }
      default -> {
        // a reply is on its way
      }
    }
  }

  /** The leader key was found lost by a write: step down at once. */
  public void lost(long nowMicros, String why) {
    if (phase == State.LEADING) {
      depose(nowMicros, why);
    }
  }

  /** Gives the lead to another node, which may reach what this one does not. */
  public void resign(long nowMicros, String why) {
    if (phase == State.LEADING) {
      claimNotBefore = nowMicros + RESIGNED_MICROS;
      depose(nowMicros, why);
    }
  }

  /** True while it is about to turn out who leads, and it may be this node. */
  public boolean deciding() {
    return switch (phase) {
      case FOLLOWING -> lastContact < 0;
      case WAITING, OPENING, CLAIMING, VERIFYING -> true;
      case LEADING -> !mayAct;
    };
  }

  /**
   * Hearsay about the leader; it helps to forward requests, never to act. A leader that acts no
   * more and hears of a later term is over.
   */
  public void hint(String name, long itsTerm, long nowMicros) {
    if (name == null || name.equals(self) || itsTerm < leaderStamp) {
      // Not of an earlier term: it would lead requests back to a leader that is over.
      return;
    }
    if (phase == State.LEADING && itsTerm > term && !hasAuthority(nowMicros)) {
      depose(nowMicros, "another node tells of term " + itsTerm);
    }
    if (phase != State.LEADING) {
      leader = name;
    }
  }

  /** The latest term this node knows of; for telling others. */
  public long latestTerm() {
    return phase == State.LEADING ? term : leaderStamp;
  }

  private void read(long nowMicros) {
    reading = true;
    state.get(Keys.LEADER, this::onRead);
  }

  private void onRead(long nowMicros, int status, JsonNode body) {
    reading = false;
    if (status == 200 || status == 404) {
      lastContact = nowMicros;
    }
    if (phase != State.FOLLOWING && phase != State.VERIFYING) {
      return;
    }
    if (status == 200) {
      JsonNode data = body.path("data");
      String name = data.path("name").asText();
      long holderLeaseId = body.path("hold").asLong(0);
      long stamp = body.path("stamp").asLong();
      if (name.equals(self) && data.path("boot").asText().equals(boot)) {
        if (phase == State.VERIFYING && holderLeaseId == leaseId) {
          elected(nowMicros, stamp);
        } else {
          // A claim of ours that was applied late: give it up, nobody may rely on it.
          drop(nowMicros, holderLeaseId);
        }
        return;
      }
      if (name.equals(self)) {
        // Left by an earlier process of this node, which is gone for sure.
        LOG.info("election: revoking the lease of an earlier process of this node");
        drop(nowMicros, holderLeaseId);
        return;
      }
      abandonClaim();
      leader = name;
      leaderAbsent = false;
      seenRevision = stamp;
      leaderStamp = stamp;
      followerGrants.over(stamp);
      become(State.FOLLOWING, "led by " + name);
      watch();
    } else if (status == 404) {
      abandonClaim();
      leader = null;
      leaderAbsent = true;
      seenRevision = body.path("ledger_rev").asLong(0);
      // Every term up to this revision has lost its key.
      followerGrants.over(seenRevision + 1);
      if (nowMicros < claimNotBefore) {
        become(State.FOLLOWING, "another node is to lead");
        readAgainAt = nowMicros + 300_000;
        return;
      }
      claimAt = nowMicros + random.nextLong(150_000);
      become(State.WAITING, "no leader");
    } else if (phase == State.VERIFYING) {
      retryRead(nowMicros, 200_000);
    } else {
      retryRead(nowMicros, 300_000);
    }
  }

  private void retryRead(long nowMicros, long pause) {
    if (phase == State.VERIFYING) {
      // Nothing was granted to anybody yet, so the claim can simply be given up.
      abandonClaim();
      become(State.FOLLOWING, "claim unclear");
    }
    readAgainAt = nowMicros + pause;
  }

  /** Ends the lease of a claim that is not wanted any more; a late put with it is then refused. */
  private void abandonClaim() {
    if (leaseId > 0) {
      long old = leaseId;
      leaseId = 0;
      state.revokeLease(old, (now, status, body) -> {});
    }
  }

  private void drop(long nowMicros, long holderLeaseId) {
    if (leaseId == holderLeaseId) {
      leaseId = 0;
    }
    abandonClaim();
    become(State.FOLLOWING, "revoking an old lease");
    reading = true;
    state.revokeLease(
        holderLeaseId,
        (now, status, body) -> {
          reading = false;
          readAgainAt = now + (status == 200 || status == 404 ? 0 : 300_000);
        });
  }

  private void watch() {
    watching = true;
    state.watch(
        Keys.LEADER,
        seenRevision,
        WATCH_MS,
        (now, status, body) -> {
          watching = false;
          if (status == 200) {
            lastContact = now;
          }
          readAgainAt = now + (status == 200 || status == 410 ? 0 : 300_000);
          if (phase == State.FOLLOWING && status == 200 && body.path("log").isEmpty()) {
            // Nothing changed; keep watching from here without reading the key again.
            seenRevision = Math.max(seenRevision, body.path("ledger_rev").asLong(0));
            watch();
          } else if (phase == State.FOLLOWING) {
            tick(now);
          }
        });
  }

  private void open(long nowMicros) {
    become(State.OPENING, "claiming");
    long sentAt = nowMicros;
    state.openLease(
        LEASE_TTL_MICROS / 1000,
        1_500_000,
        (now, status, body) -> {
          if (status == 200) {
            leaseId = body.path("hold").asLong();
            leaseSentAt = sentAt;
            claim(now);
          } else {
            become(State.FOLLOWING, "no lease: " + status);
            readAgainAt = now + 300_000;
          }
        });
  }

  private void claim(long nowMicros) {
    become(State.CLAIMING, "lease open");
    ObjectNode data = Codec.map().put("name", self).put("boot", boot);
    state.commit(
        List.of(new Condition(Keys.LEADER, 0)),
        List.of(new Change(Keys.LEADER, data)),
        leaseId,
        1_500_000,
        (now, status, body) -> {
          if (status == 200) {
            elected(now, body.path("ledger_rev").asLong());
          } else {
            become(State.VERIFYING, "claim answered " + status);
            read(now);
          }
        });
  }

  private void elected(long nowMicros, long stamp) {
    term = stamp;
    mayAct = false;
    failing = false;
    grantedUntil.clear();
    leaderAbsent = false;
    leader = self;
    authorityUntil = leaseSentAt + AUTHORITY_MICROS;
    extending = false;
    extendAt = nowMicros;
    lastContact = nowMicros;
    become(State.LEADING, "term " + term);
    listener.onElected(nowMicros, term);
    tick(nowMicros);
  }

  private void extend(long nowMicros) {
    extending = true;
    long sentAt = nowMicros;
    long forTerm = term;
    state.renewLease(
        leaseId,
        RENEW_TIMEOUT_MICROS,
        (now, status, body) -> {
          if (phase != State.LEADING || term != forTerm) {
            return;
          }
          extending = false;
          if (status == 200) {
            lastContact = now;
            if (failing) {
              LOG.info("election: extensions succeed again");
            }
            failing = false;
            authorityUntil = Math.max(authorityUntil, sentAt + AUTHORITY_MICROS);
            extendAt = sentAt + RENEW_INTERVAL_MICROS;
          } else if (status == 404) {
            depose(now, "lease ended");
          } else {
            if (!failing) {
              LOG.info("election: renewals fail ({}); asking for grants soon", status);
            }
            failing = true;
            extendAt = now + RENEW_RETRY_MICROS;
          }
        });
  }

  private void depose(long nowMicros, String why) {
    long old = term;
    abandonClaim();
    authorityUntil = 0;
    leader = null;
    become(State.FOLLOWING, why);
    readAgainAt = nowMicros;
    listener.onDeposed(nowMicros, old);
  }
}
