package org.dewreach.leadership;

/**
 * What this node has granted to other terms, in memory only.
 *
 * <p>While the key-value store is down its leases do not end, but a leader that counts authority
 * strictly would let every worker's lease run out. So a leader whose renewals fail may go on as
 * long as <em>every</em> node, itself included, has a grant running not to let a later term act. A
 * later leader acts only once its own node lets it. The later leader's node is one of those that
 * granted, so the two never act at once: either its grant still runs, or it let the later term act
 * first and grants nothing to earlier ones. A node that was started again has forgotten its grants,
 * so for longer than any grant lasts it neither grants nor lets a term act.
 */
public final class FollowerGrants {
  /**
   * Length of a grant. A default of this project: short, since a takeover may have to wait for its
   * end.
   */
  public static final long GRANT_DURATION_MICROS = 1_600_000;

  /** The leader counts a grant from its asking, and as a little shorter, for clock drift. */
  static final long COUNTED_GRANT_DURATION_MICROS =
      GRANT_DURATION_MICROS - ClockDrift.maxOver(GRANT_DURATION_MICROS) - 20_000;

  /** After a start, earlier grants of this node may still run. */
  private static final long STARTUP_GRACE_MICROS =
      GRANT_DURATION_MICROS + ClockDrift.maxOver(GRANT_DURATION_MICROS) + 20_000;

  private final long startedAt;
  private long grantedUntil = Long.MIN_VALUE;
  private long grantedTerm;
  private long lowestAdmissibleTerm;

  /**
   * Without any grant yet.
   *
   * @param startedAt when this node was started; an earlier process may have granted until then
   */
  public FollowerGrants(long startedAt) {
    this.startedAt = startedAt;
  }

  private boolean inStartupGrace(long nowMicros) {
    return nowMicros < startedAt + STARTUP_GRACE_MICROS;
  }

  /** True while a grant runs, so that no other term may act here. */
  private boolean hasActiveGrant(long nowMicros) {
    return nowMicros < grantedUntil;
  }

  /** Grants that no later term acts for a while, unless a later one is known of. */
  public boolean grant(long term, long nowMicros) {
    if (inStartupGrace(nowMicros)
        || term < lowestAdmissibleTerm
        || hasActiveGrant(nowMicros) && grantedTerm > term) {
      return false;
    }
    grantedTerm = term;
    grantedUntil = nowMicros + GRANT_DURATION_MICROS;
    return true;
  }

  /** Lets a term of this node act, unless a grant to an earlier one may still run. */
  public boolean admitTerm(long term, long nowMicros) {
    if (inStartupGrace(nowMicros) || hasActiveGrant(nowMicros) && grantedTerm != term) {
      return false;
    }
    lowestAdmissibleTerm = Math.max(lowestAdmissibleTerm, term);
    return true;
  }

  /** The key-value store shows that the terms below the given one have lost the leader key. */
  public void fenceTermsBelow(long term) {
    lowestAdmissibleTerm = Math.max(lowestAdmissibleTerm, term);
  }
}
