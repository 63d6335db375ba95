package org.dewreach.store;

/** A token bucket in event time: a rate with bursts of a second's worth. */
public final class TokenBucket {
  private static final double MICROS_PER_SECOND = 1e6;

  private final double perMicro;
  private final double most;
  private double tokens;
  private long lastMicros;

  /**
   * A full bucket.
   *
   * @param burst how many tokens it holds
   */
  public TokenBucket(double perSecond, double burst) {
    this.perMicro = perSecond / MICROS_PER_SECOND;
    this.most = Math.max(1, burst);
    this.tokens = this.most;
  }

  private void refill(long nowMicros) {
    if (nowMicros > lastMicros) {
      tokens = Math.min(most, tokens + (nowMicros - lastMicros) * perMicro);
      lastMicros = nowMicros;
    }
  }

  /** Whole tokens that are available now. */
  public int available(long nowMicros) {
    refill(nowMicros);
    return (int) tokens;
  }

  /** Takes tokens, also into debt, so that a large request is possible but paid for. */
  public void take(long nowMicros, double count) {
    refill(nowMicros);
    tokens -= count;
  }

  /** Gives back tokens that were taken and not used. */
  public void giveBack(double count) {
    tokens = Math.min(most, tokens + count);
  }

  /** Takes one token if there is one. */
  public boolean tryTake(long nowMicros) {
    if (available(nowMicros) < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
