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
 * The leader election, as one controller takes part in it.
 *
 * <p>A candidate makes a {@link LeaderClaim}: it requests a lease and writes the leader key with
 * it, if the key is absent. The revision of that write is the term. {@link LeaderAuthority} renews
 * the lease of the term and computes until when the term may act; {@link FollowerGrants} holds the
 * grants that this controller has made to terms of other controllers.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);

  /** Pause before the key is read again if it remains unknown whether a claim was applied. */
  private static final long VERIFY_RETRY_MICROS = 200_000;

  /** Upper limit of the random delay before a claim. */
  private static final long MAX_CLAIM_DELAY_MICROS = 150_000;

  /**
   * Pause in which a controller that handed over makes no claim, so that others can claim first.
   */
  private static final long HANDOVER_CLAIM_PAUSE_MICROS = 10_000_000;

  /** Notified when this controller becomes the leader and when it steps down. */
  public interface Listener {
    /** This controller was elected leader for a new term. */
    void onElected(long nowMicros, long term);

    /** The term that this controller led has ended. */
    void onSteppedDown(long nowMicros, long term);
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
   * Creates an election in which no leader is known yet.
   *
   * @param others names of the other controllers
   * @param bootId identifies this process among all processes of this controller
   * @param random spreads the claims of several controllers in time
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
            store, outbox, others, self, leaderKey::recordResult, this::onLeaseExpired);
  }

  /** The present state of this controller in the election. */
  public ElectionState state() {
    return state;
  }

  /** The name of the leader as last read or received, or null. */
  public String leader() {
    return state == ElectionState.LEADING ? self : leader;
  }

  /** True if the leader key was absent when last read, so that no controller leads. */
  public boolean leaderAbsent() {
    return leaderAbsent && state != ElectionState.LEADING;
  }

  /**
   * True while no other term can act, on the basis of the lease or of grants of all controllers.
   */
  public boolean hasAuthority(long nowMicros) {
    return state == ElectionState.LEADING && authority.holds(nowMicros);
  }

  /** Returns when authority ends, as far as it is known now. */
  public long authorityEndsAt() {
    return authority.authorityEndsAt();
  }

  /**
   * Makes a grant to a term of another controller: for its duration, this controller admits no
   * later term. Returns false if that is not possible.
   */
  public boolean grantTo(long forTerm, long nowMicros) {
    return followerGrants != null
        && state != ElectionState.LEADING
        && followerGrants.grant(forTerm, nowMicros);
  }

  /**
   * The time of the last response that this controller received from the key-value store, or -1.
   */
  public long lastStoreResponseAt() {
    return leaderKey.lastStoreResponseAt();
  }

  /**
   * The time of the last reply of the key-value store to this controller, a refusal included, or
   * -1.
   */
  public long lastStoreReplyAt() {
    return leaderKey.lastStoreReplyAt();
  }

  private void changeState(ElectionState next, String reason) {
    if (state != next) {
      LOG.info("election state changed: from={} to={} reason=\"{}\"", state, next, reason);
      state = next;
    }
  }

  /** Continues the election; called periodically. */
  public void tick(long nowMicros) {
    if (followerGrants == null) {
      // Event time starts at 0 with the process, which made no grant before that.
      followerGrants = new FollowerGrants(0);
    }
    switch (state) {
      case LEADING -> authority.tick(followerGrants, nowMicros);
      case WAITING -> {
        if (nowMicros >= claimAt) {
          requestLease(nowMicros);
        }
      }
      case FOLLOWING -> {
        if (leaderKey.readDue(nowMicros)) {
          leaderKey.read();
        }
      }
      default -> {
        // waiting for a response
      }
    }
  }

  /** Steps down at once, since a write found the leader key lost. */
  public void onKeyLost(long nowMicros, String reason) {
    if (state == ElectionState.LEADING) {
      stepDown(nowMicros, reason);
    }
  }

  /**
   * Steps down so that another controller can claim the leader key, since that controller may reach
   * workers that this one does not.
   */
  public void handOver(long nowMicros, String reason) {
    if (state == ElectionState.LEADING) {
      claimNotBefore = nowMicros + HANDOVER_CLAIM_PAUSE_MICROS;
      stepDown(nowMicros, reason);
    }
  }

  /** True while this controller leads and renewals of its lease fail. */
  public boolean renewalsFailing() {
    return state == ElectionState.LEADING && authority.renewalsFailing();
  }

  /** True while it is undecided which controller leads, and it may be this one. */
  public boolean undecided() {
    return switch (state) {
      case FOLLOWING -> lastStoreResponseAt() < 0;
      case WAITING, OPENING, CLAIMING, VERIFYING -> true;
      case LEADING -> !authority.active();
    };
  }

  /**
   * Processes the leader that another controller reported, which is used to forward requests and
   * never to gain authority. A leader without authority steps down if the reported term is later
   * than its own.
   */
  public void onLeaderHint(String name, long hintedTerm, long nowMicros) {
    if (name == null || name.equals(self) || hintedTerm < leaderRevision) {
      // A hint of an earlier term would send requests back to a former leader.
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

  /** The latest term that this controller has read or received. */
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

  private void onOwnKey(long nowMicros, String holderBootId, long holderLeaseId, long revision) {
    if (!holderBootId.equals(bootId)) {
      // Written by an earlier process of this controller, which has certainly ended.
      LOG.info("revoking the leader lease of an earlier process: lease={}", holderLeaseId);
      revokeOldLease(holderLeaseId);
    } else if (state == ElectionState.VERIFYING && claim.hasLease(holderLeaseId)) {
      becomeLeader(nowMicros, revision);
    } else {
      // A claim of this controller that was applied late, after it was abandoned: its lease is
      // revoked, since no controller may rely on it.
      revokeOldLease(holderLeaseId);
    }
  }

  private void onKeyAbsent(long nowMicros, ReadResult.Absent absent) {
    claim.abandon();
    leader = null;
    leaderAbsent = true;
    // Every term up to this revision has lost the leader key.
    followerGrants.fenceTermsBelow(absent.storeRevision() + 1);
    if (nowMicros < claimNotBefore) {
      changeState(ElectionState.FOLLOWING, "handed over, another controller claims first");
      leaderKey.readAgainAt(nowMicros + LeaderKeyReader.RETRY_PAUSE_MICROS);
      return;
    }
    claimAt = nowMicros + random.nextLong(MAX_CLAIM_DELAY_MICROS);
    changeState(ElectionState.WAITING, "no leader");
  }

  private void readAgainAfter(long nowMicros, long pause) {
    if (state == ElectionState.VERIFYING) {
      // Nothing has been granted under this claim yet, so it can be abandoned safely.
      claim.abandon();
      changeState(ElectionState.FOLLOWING, "outcome of claim unknown");
    }
    leaderKey.readAgainAt(nowMicros + pause);
  }

  private void revokeOldLease(long holderLeaseId) {
    claim.clearLease(holderLeaseId);
    claim.abandon();
    changeState(ElectionState.FOLLOWING, "revoking an old lease");
    leaderKey.revokeLease(holderLeaseId);
  }

  private void requestLease(long nowMicros) {
    changeState(ElectionState.OPENING, "claiming");
    claim.requestLease(
        nowMicros,
        (now, result) -> {
          if (result instanceof LeaseGrant) {
            writeLeaderKey();
          } else {
            changeState(ElectionState.FOLLOWING, "lease not granted: " + result);
            leaderKey.readAgainAt(now + LeaderKeyReader.RETRY_PAUSE_MICROS);
          }
        });
  }

  private void writeLeaderKey() {
    changeState(ElectionState.CLAIMING, "lease granted");
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

  private void onLeaseExpired(long nowMicros) {
    stepDown(nowMicros, "leader lease expired");
  }

  private void stepDown(long nowMicros, String reason) {
    claim.abandon();
    authority.end();
    leader = null;
    changeState(ElectionState.FOLLOWING, reason);
    leaderKey.readAgainAt(nowMicros);
    listener.onSteppedDown(nowMicros, authority.term());
  }
}
