package org.dewreach.leadership;

import java.util.List;
import java.util.random.RandomGenerator;
import org.dewreach.port.Outbox;
import org.dewreach.store.KeyValue;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.LeaseGrant;
import org.dewreach.store.ReadResult;
import org.dewreach.store.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller's part in choosing the leader.
 *
 * <p>A candidate makes a {@link LeaderClaim}: it opens a lease and writes the leader key with it,
 * if the key is absent. The revision of that write is the term. {@link LeaderAuthority} renews the
 * lease of the term and says until when it may act; {@link FollowerGrants} is what this node has
 * granted to the terms of others.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);

  /** Pause before the key is read again when it stays unclear whether a claim was applied. */
  private static final long VERIFY_RETRY_MICROS = 200_000;

  /** Upper limit of the random delay of a claim. A default of this project. */
  private static final long MAX_CLAIM_DELAY_MICROS = 150_000;

  /** A node that gave up the lead lets others claim it first. A default of this project. */
  private static final long HANDOVER_CLAIM_PAUSE_MICROS = 10_000_000;

  /** Notified when this node wins or loses the lead. */
  public interface Listener {
    /** This node leads under a new term. */
    void onElected(long nowMicros, long term);

    /** The term that this node led is over. */
    void onDeposed(long nowMicros, long term);
  }

  private final String self;
  private final String bootId;
  private final RandomGenerator random;
  private final Listener listener;
  private final LeaderKeyReader leaderKey;
  private final LeaderClaim claim;
  private final LeaderAuthority authority;

  private ElectionState state = ElectionState.FOLLOWING;
  private String leader;
  private boolean leaderAbsent;
  private long leaderRevision;
  private long claimNotBefore;
  private long claimAt;
  private FollowerGrants followerGrants;

  /**
   * Without a leader known of yet.
   *
   * @param others names of the other controllers
   * @param bootId identifies this process among those of the same name
   * @param random spreads the claims of several nodes in time
   */
  public Election(
      KeyValueStore store,
      Outbox outbox,
      List<String> others,
      String self,
      String bootId,
      RandomGenerator random,
      Listener listener) {
    this.self = self;
    this.bootId = bootId;
    this.random = random;
    this.listener = listener;
    this.leaderKey =
        new LeaderKeyReader(
            store, this::onLeaderKeyRead, () -> state == ElectionState.FOLLOWING, this::tick);
    this.claim = new LeaderClaim(store, self, bootId);
    this.authority =
        new LeaderAuthority(
            store, outbox, others, self, leaderKey::recordStoreResponse, this::onLeaseEnded);
  }

  /** What this controller is in the election now. */
  public ElectionState state() {
    return state;
  }

  /** Name of the leader as last seen, or null. */
  public String leader() {
    return state == ElectionState.LEADING ? self : leader;
  }

  /** True if the key was last seen absent: nobody leads then. */
  public boolean leaderAbsent() {
    return leaderAbsent && state != ElectionState.LEADING;
  }

  /** True while no other term can act: by the lease, or by every node's grant. */
  public boolean hasAuthority(long nowMicros) {
    return state == ElectionState.LEADING && authority.holds(nowMicros);
  }

  /** When authority ends, as far as it is known now. */
  public long authorityEndsAt() {
    return authority.authorityEndsAt();
  }

  /**
   * Grants a term of another node that no later term acts here for a while, if that is possible.
   */
  public boolean grantTo(long forTerm, long nowMicros) {
    return followerGrants != null
        && state != ElectionState.LEADING
        && followerGrants.grant(forTerm, nowMicros);
  }

  /** When the key-value store last answered this node, or -1. */
  public long lastStoreResponseAt() {
    return leaderKey.lastStoreResponseAt();
  }

  private void changeState(ElectionState next, String why) {
    if (state != next) {
      LOG.info("election state changed: from={} to={} reason=\"{}\"", state, next, why);
      state = next;
    }
  }

  /** Called when time has passed. */
  public void tick(long nowMicros) {
    if (followerGrants == null) {
      // Event time counts from the start of the process, before which it granted nothing.
      followerGrants = new FollowerGrants(0);
    }
    switch (state) {
      case LEADING -> authority.tick(followerGrants, nowMicros);
      case WAITING -> {
        if (nowMicros >= claimAt) {
          openLease(nowMicros);
        }
      }
      case FOLLOWING -> {
        if (leaderKey.readDue(nowMicros)) {
          leaderKey.read();
        }
      }
      default -> {
        // a reply is on its way
      }
    }
  }

  /** The leader key was found lost by a write: step down at once. */
  public void onKeyLost(long nowMicros, String why) {
    if (state == ElectionState.LEADING) {
      stepDown(nowMicros, why);
    }
  }

  /** Gives up the lead so that another node takes it, which may reach what this one does not. */
  public void handOver(long nowMicros, String why) {
    if (state == ElectionState.LEADING) {
      claimNotBefore = nowMicros + HANDOVER_CLAIM_PAUSE_MICROS;
      stepDown(nowMicros, why);
    }
  }

  /** True while it is not known who leads, and it may turn out to be this node. */
  public boolean undecided() {
    return switch (state) {
      case FOLLOWING -> lastStoreResponseAt() < 0;
      case WAITING, OPENING, CLAIMING, VERIFYING -> true;
      case LEADING -> !authority.active();
    };
  }

  /**
   * Takes another node's word on who leads, which helps to forward requests, never to act. A leader
   * without authority that learns of a later term steps down.
   */
  public void onLeaderHint(String name, long hintedTerm, long nowMicros) {
    if (name == null || name.equals(self) || hintedTerm < leaderRevision) {
      // A hint of an earlier term would send requests back to a leader that was deposed.
      return;
    }
    if (state == ElectionState.LEADING
        && hintedTerm > authority.term()
        && !hasAuthority(nowMicros)) {
      stepDown(nowMicros, "another node knows of term " + hintedTerm);
    }
    if (state != ElectionState.LEADING) {
      leader = name;
    }
  }

  /** The latest term this node knows of. */
  public long latestTerm() {
    return state == ElectionState.LEADING ? authority.term() : leaderRevision;
  }

  private void onLeaderKeyRead(long nowMicros, ReadResult result) {
    if (state != ElectionState.FOLLOWING && state != ElectionState.VERIFYING) {
      return;
    }
    if (result instanceof KeyValue entry) {
      onKeyPresent(nowMicros, entry);
    } else if (result instanceof ReadResult.Absent absent) {
      onKeyAbsent(nowMicros, absent);
    } else if (state == ElectionState.VERIFYING) {
      readAgainAfter(nowMicros, VERIFY_RETRY_MICROS);
    } else {
      readAgainAfter(nowMicros, LeaderKeyReader.RETRY_PAUSE_MICROS);
    }
  }

  private void onKeyPresent(long nowMicros, KeyValue entry) {
    LeaderRecord holder = LeaderRecord.decode(entry.value());
    String name = holder.name();
    if (name.equals(self)) {
      onOwnKey(nowMicros, holder.bootId(), entry.leaseId(), entry.revision());
      return;
    }
    claim.abandon();
    leader = name;
    leaderAbsent = false;
    leaderRevision = entry.revision();
    followerGrants.fenceTermsBelow(entry.revision());
    changeState(ElectionState.FOLLOWING, "led by " + name);
    leaderKey.watchFrom(entry.revision());
  }

  private void onOwnKey(long nowMicros, String holderBoot, long holderLeaseId, long revision) {
    if (!holderBoot.equals(bootId)) {
      // Left by an earlier process of this node, which is gone for sure.
      LOG.info("revoking the lease of an earlier process of this node: lease={}", holderLeaseId);
      revokeOldLease(holderLeaseId);
    } else if (state == ElectionState.VERIFYING && claim.hasLease(holderLeaseId)) {
      becomeLeader(nowMicros, revision);
    } else {
      // A claim of ours that was applied late: give it up, nobody may rely on it.
      revokeOldLease(holderLeaseId);
    }
  }

  private void onKeyAbsent(long nowMicros, ReadResult.Absent absent) {
    claim.abandon();
    leader = null;
    leaderAbsent = true;
    // Every term up to this revision has lost its key.
    followerGrants.fenceTermsBelow(absent.storeRevision() + 1);
    if (nowMicros < claimNotBefore) {
      changeState(ElectionState.FOLLOWING, "another node is to lead");
      leaderKey.readAgainAt(nowMicros + LeaderKeyReader.RETRY_PAUSE_MICROS);
      return;
    }
    claimAt = nowMicros + random.nextLong(MAX_CLAIM_DELAY_MICROS);
    changeState(ElectionState.WAITING, "no leader");
  }

  private void readAgainAfter(long nowMicros, long pause) {
    if (state == ElectionState.VERIFYING) {
      // Nothing was granted to anybody yet, so the claim can simply be given up.
      claim.abandon();
      changeState(ElectionState.FOLLOWING, "claim unclear");
    }
    leaderKey.readAgainAt(nowMicros + pause);
  }

  private void revokeOldLease(long holderLeaseId) {
    claim.clearLease(holderLeaseId);
    claim.abandon();
    changeState(ElectionState.FOLLOWING, "revoking an old lease");
    leaderKey.revokeLease(holderLeaseId);
  }

  private void openLease(long nowMicros) {
    changeState(ElectionState.OPENING, "claiming");
    claim.openLease(
        nowMicros,
        (now, result) -> {
          if (result instanceof LeaseGrant) {
            writeLeaderKey();
          } else {
            changeState(ElectionState.FOLLOWING, "no lease: " + result);
            leaderKey.readAgainAt(now + LeaderKeyReader.RETRY_PAUSE_MICROS);
          }
        });
  }

  private void writeLeaderKey() {
    changeState(ElectionState.CLAIMING, "lease open");
    claim.writeKey(
        (now, result) -> {
          if (result instanceof TransactionResult.Committed committed) {
            becomeLeader(now, committed.revision());
          } else {
            changeState(ElectionState.VERIFYING, "claim not confirmed: " + result);
            leaderKey.read();
          }
        });
  }

  private void becomeLeader(long nowMicros, long term) {
    authority.begin(term, claim.leaseId(), claim.leaseRequestedAt(), nowMicros);
    leaderAbsent = false;
    leader = self;
    leaderKey.recordStoreResponse(nowMicros);
    changeState(ElectionState.LEADING, "term " + term);
    listener.onElected(nowMicros, term);
    tick(nowMicros);
  }

  private void onLeaseEnded(long nowMicros) {
    stepDown(nowMicros, "lease ended");
  }

  private void stepDown(long nowMicros, String why) {
    claim.abandon();
    authority.end();
    leader = null;
    changeState(ElectionState.FOLLOWING, why);
    leaderKey.readAgainAt(nowMicros);
    listener.onDeposed(nowMicros, authority.term());
  }
}
