package org.dewreach.leadership;

/**
 * The grants that this controller has made to terms, in memory only.
 *
 * <p>While the key-value store is down, its leases do not expire, but a leader that counted
 * authority from renewals alone would let every worker's lease expire. Therefore a leader whose
 * renewals fail may continue as long as <em>every</em> controller, itself included, has a grant in
 * force by which it admits no later term. A later leader acts only once its own controller admits
 * its term. That controller is one of those that made a grant, so the two leaders never act at the
 * same time: either its grant is still in force, or it admitted the later term first and rejects
 * grants to earlier ones. A restarted controller has lost its grants, so for longer than any grant
 * lasts it neither grants nor admits a term.
 */
public final class FollowerGrants {
  /** The duration of a grant: short, since a takeover may have to wait until it ends. */
  public static final long GRANT_DURATION_MICROS = 1_600_000;

  /**
   * The duration that the leader counts from its request: less clock drift and a margin of 20 ms.
   */
  static final long COUNTED_GRANT_DURATION_MICROS =
      GRANT_DURATION_MICROS - ClockDrift.maxOver(GRANT_DURATION_MICROS) - 20_000;

  /** For this long after a start, grants of an earlier process may still be in force. */
  private static final long STARTUP_GRACE_MICROS =
      GRANT_DURATION_MICROS + ClockDrift.maxOver(GRANT_DURATION_MICROS) + 20_000;

  private final long startedAt;
  private long grantedUntil = Long.MIN_VALUE;
  private long grantedTerm;
  private long lowestAdmissibleTerm;

  /**
   * Creates an instance without grants.
   *
   * @param startedAt when this process was started; an earlier process may have made grants until
   *     then
   */
  public FollowerGrants(long startedAt) {
    this.startedAt = startedAt;
  }

  private boolean inStartupGrace(long nowMicros) {
    return nowMicros < startedAt + STARTUP_GRACE_MICROS;
  }

  /** True while a grant is in force, so that this controller admits no other term. */
  private boolean hasActiveGrant(long nowMicros) {
    return nowMicros < grantedUntil;
  }

  /**
   * Makes a grant to the term: for its duration, this controller admits no later term. Returns
   * false if a later term is known, or during the startup grace period.
   */
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

  /**
   * Admits a term of this controller, unless a grant to an earlier term may still be in force;
   * returns whether the term may act.
   */
  public boolean admitTerm(long term, long nowMicros) {
    if (inStartupGrace(nowMicros) || hasActiveGrant(nowMicros) && grantedTerm != term) {
      return false;
    }
    lowestAdmissibleTerm = Math.max(lowestAdmissibleTerm, term);
    return true;
  }

  /**
   * Rejects the terms below the given one, which have lost the leader key according to the
   * key-value store.
   */
  public void fenceTermsBelow(long term) {
    lowestAdmissibleTerm = Math.max(lowestAdmissibleTerm, term);
  }
}
