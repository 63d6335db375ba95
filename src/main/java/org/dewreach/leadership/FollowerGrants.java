package org.dewreach.leadership;

/**
 * What this node has granted to other terms, in memory only.
 *
 * <p>While the state service is down its leases do not end, but a leader that counts authority
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
  public static final long GRANT_MICROS = 1_600_000;

  /** The leader counts a grant from its asking, and as a little shorter, for clock drift. */
  static final long COUNTED_GRANT_MICROS = GRANT_MICROS - ClockDrift.within(GRANT_MICROS) - 20_000;

  private static final long QUARANTINE_MICROS =
      GRANT_MICROS + ClockDrift.within(GRANT_MICROS) + 20_000;

  private final long startedAt;
  private long grantedUntil = Long.MIN_VALUE;
  private long grantedTerm;
  private long lowestLiving;

  /**
   * Without any grant yet.
   *
   * @param startedAt when this node was started; an earlier process may have granted until then
   */
  public FollowerGrants(long startedAt) {
    this.startedAt = startedAt;
  }

  private boolean quarantined(long nowMicros) {
    return nowMicros < startedAt + QUARANTINE_MICROS;
  }

  /** True while a grant runs: nothing may be told that its holder does not know. */
  public boolean running(long nowMicros) {
    return nowMicros < grantedUntil;
  }

  /** Grants that no later term acts for a while, unless a later one is known of. */
  public boolean grant(long term, long nowMicros) {
    if (quarantined(nowMicros) || term < lowestLiving || running(nowMicros) && grantedTerm > term) {
      return false;
    }
    grantedTerm = term;
    grantedUntil = nowMicros + GRANT_MICROS;
    return true;
  }

  /** Lets a term of this node act, unless a grant to an earlier one may still run. */
  public boolean letAct(long term, long nowMicros) {
    if (quarantined(nowMicros) || running(nowMicros) && grantedTerm != term) {
      return false;
    }
    lowestLiving = Math.max(lowestLiving, term);
    return true;
  }

  /** The state service shows that terms below the given one are over. */
  public void over(long below) {
    lowestLiving = Math.max(lowestLiving, below);
  }
}
