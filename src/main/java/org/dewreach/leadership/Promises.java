package org.dewreach.leadership;

/**
 * What this node has promised to other terms, in memory only.
 *
 * <p>While the state service is down its holds do not end, but a leader that counts authority
 * strictly would let every worker's lease run out. So a leader whose extensions fail may go on as
 * long as <em>every</em> node, itself included, has a promise running not to let a later term act.
 * A later leader acts only once its own node lets it. The later leader's node is one of those that
 * promised, so the two never act at once: either its promise still runs, or it let the later term
 * act first and promises nothing to earlier ones. A node that was started again has forgotten its
 * promises, so for longer than any promise lasts it neither promises nor lets a term act.
 */
public final class Promises {
  /** Length of a promise. Ours: short, since a takeover may have to wait for its end. */
  public static final long PROMISE_MICROS = 1_600_000;

  /** The leader counts a promise from its asking, and as a little shorter, for clock drift. */
  static final long COUNTED_MICROS = PROMISE_MICROS - PROMISE_MICROS / 500 - 20_000;

  private static final long QUARANTINE_MICROS = PROMISE_MICROS + PROMISE_MICROS / 500 + 20_000;

  private final long startedAt;
  private long promisedUntil = Long.MIN_VALUE;
  private long promisedTerm;
  private long lowestLiving;

  public Promises(long startedAt) {
    this.startedAt = startedAt;
  }

  private boolean quarantined(long nowMicros) {
    return nowMicros < startedAt + QUARANTINE_MICROS;
  }

  /** True while a promise runs: nothing may be told that its holder does not know. */
  public boolean running(long nowMicros) {
    return nowMicros < promisedUntil;
  }

  /** Promises to let no later term act for a while, unless a later one is known of. */
  public boolean promise(long term, long nowMicros) {
    if (quarantined(nowMicros)
        || term < lowestLiving
        || running(nowMicros) && promisedTerm > term) {
      return false;
    }
    promisedTerm = term;
    promisedUntil = nowMicros + PROMISE_MICROS;
    return true;
  }

  /** Lets a term of this node act, unless a promise to an earlier one may still run. */
  public boolean letAct(long term, long nowMicros) {
    if (quarantined(nowMicros) || running(nowMicros) && promisedTerm != term) {
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
