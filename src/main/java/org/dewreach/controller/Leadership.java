package org.dewreach.controller;

import java.util.random.RandomGenerator;
import org.dewreach.config.Settings;
import org.dewreach.leadership.DelegateRenewer;
import org.dewreach.leadership.Election;
import org.dewreach.port.ConnectionPool;
import org.dewreach.port.Effect;
import org.dewreach.store.KeyValueStore;

/**
 * Tracks whether this controller leads, the term that it leads, and which controller leads
 * otherwise.
 */
final class Leadership implements Election.Listener, LeadershipControl {
  private static final long SELF_DELEGATION_INTERVAL_MICROS = 500_000;

  private final ControllerServices services;
  private final EventClock clock;
  private final Election election;
  private final DelegateRenewer delegateRenewer;
  private LeadershipTerm term;
  private long nextSelfDelegationAt;
  private long selfDelegatedUntil;

  /**
   * Creates the leadership of a controller to which no leader is known yet.
   *
   * @param bootId a string that is unique to this process, also among earlier processes of this
   *     controller
   */
  Leadership(ControllerServices services, EventClock clock, String bootId, RandomGenerator random) {
    this.services = services;
    this.clock = clock;
    Settings settings = services.settings();
    this.election =
        new Election(
            // Guards against a renewal that waits behind reads for users and is sent after the
            // lease has expired.
            new KeyValueStore(services.outbox(), ConnectionPool.LEADERSHIP),
            services.outbox(),
            settings.members().stream().map(Settings.Member::name).toList(),
            settings.name(),
            bootId,
            random,
            this);
    this.delegateRenewer = new DelegateRenewer(services.outbox(), services.store(), settings);
  }

  Election election() {
    return election;
  }

  DelegateRenewer delegateRenewer() {
    return delegateRenewer;
  }

  /** The term for which this controller was elected and whose end it has not detected, or null. */
  LeadershipTerm term() {
    return term;
  }

  /** The number of {@link #term}, or 0 if there is none. */
  long termNumber() {
    return term == null ? 0 : term.number();
  }

  /** True if this controller has authority to act as leader. */
  boolean hasAuthority() {
    return term != null && hasAuthority(clock.now());
  }

  /** True if this controller has authority to act as leader and has loaded the cluster state. */
  boolean canServe() {
    return term != null && term.loaded() && hasAuthority(clock.now());
  }

  /** True if this controller still has authority in the given term. */
  boolean hasAuthorityIn(LeadershipTerm handlingTerm) {
    return term == handlingTerm && hasAuthority(clock.now());
  }

  /**
   * The name of the leader if it is another controller, as last read or received by this one, or
   * null.
   */
  String otherLeader() {
    String leader = election.leader();
    return leader == null || leader.equals(services.settings().name()) ? null : leader;
  }

  /**
   * True for a short time: until the leader is known, and until a new leader has loaded the cluster
   * state.
   */
  boolean isUndecided() {
    return election.undecided() || term != null && !term.loaded();
  }

  /** Returns until when effects that are decided now may be executed. */
  long effectsValidUntil() {
    return hasAuthority() ? election.authorityEndsAt() : Effect.NO_EXPIRY;
  }

  /**
   * Renews the delegation by which this controller may renew worker leases if it loses contact with
   * the other controllers.
   */
  void renewDelegations() {
    long nowMicros = clock.now();
    if (!hasAuthority()) {
      delegateRenewer.onTermKnown(election.leaderAbsent() ? Long.MAX_VALUE : election.latestTerm());
      delegateRenewer.tick(election.leader(), nowMicros);
      return;
    }
    if (nowMicros >= nextSelfDelegationAt) {
      nextSelfDelegationAt = nowMicros + SELF_DELEGATION_INTERVAL_MICROS;
      selfDelegatedUntil = term.delegateToSelf(services.settings().zone(), nowMicros);
    }
    delegateRenewer.onLeading(
        term.number(), Math.max(0, selfDelegatedUntil - nowMicros), nowMicros);
  }

  @Override
  public void onElected(long nowMicros, long number) {
    // This term's records do not include what an earlier term of this controller delegated to it.
    selfDelegatedUntil = 0;
    nextSelfDelegationAt = nowMicros;
    term = new LeadershipTerm(number, services, this, nowMicros);
  }

  @Override
  public void onSteppedDown(long nowMicros, long number) {
    LeadershipTerm ended = term;
    term = null;
    if (ended != null) {
      ended.close(nowMicros);
    }
  }

  @Override
  public boolean hasAuthority(long nowMicros) {
    return election.hasAuthority(nowMicros);
  }

  @Override
  public boolean isStoreSuspected() {
    return election.renewalsFailing();
  }

  @Override
  public void onKeyLost() {
    election.onKeyLost(clock.now(), "leader key precondition of a write failed");
  }

  @Override
  public void handOverLeadership() {
    services.handoverHistory().recordHandover(clock.now());
    election.handOver(clock.now(), "handover, no heartbeats reach this controller");
  }

  @Override
  public long lastDelegateRenewalAt() {
    return delegateRenewer.lastRenewalAt();
  }
}
