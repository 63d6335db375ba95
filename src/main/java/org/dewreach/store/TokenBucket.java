package org.dewreach.store;

/** A token bucket that refills with event time. */
public final class TokenBucket {
  private static final double MICROS_PER_SECOND = 1e6;

  private double tokensPerMicro;
  private double capacity;
  private double tokens;
  private long refilledAtMicros;

  /**
   * Creates a full bucket.
   *
   * @param perSecond the number of tokens added per second
   * @param burst the capacity in tokens; a value below 1 counts as 1
   */
  public TokenBucket(double perSecond, double burst) {
    this.tokensPerMicro = perSecond / MICROS_PER_SECOND;
    this.capacity = Math.max(1, burst);
    this.tokens = this.capacity;
  }

  /** Changes the rate and the capacity from now on. */
  void changeRate(long nowMicros, double perSecond, double burst) {
    refill(nowMicros);
    tokensPerMicro = perSecond / MICROS_PER_SECOND;
    capacity = Math.max(1, burst);
  }

  private void refill(long nowMicros) {
    if (nowMicros > refilledAtMicros) {
      tokens = Math.min(capacity, tokens + (nowMicros - refilledAtMicros) * tokensPerMicro);
      refilledAtMicros = nowMicros;
    }
  }

  /**
   * Returns the number of whole tokens available now, which is negative while the bucket is in
   * debt.
   */
  public int available(long nowMicros) {
    refill(nowMicros);
    return (int) tokens;
  }

  /**
   * Consumes tokens. The balance may become negative, so that a large request is possible and
   * delays later ones.
   */
  public void consume(long nowMicros, double count) {
    refill(nowMicros);
    tokens -= count;
  }

  /** Gives back tokens that were consumed but not needed. */
  public void refund(double count) {
    tokens = Math.min(capacity, tokens + count);
  }

  /** Removes all tokens that are available. */
  void drain(long nowMicros) {
    refill(nowMicros);
    tokens = Math.min(tokens, 0);
  }

  /** Consumes one token and returns true if one is available; returns false otherwise. */
  public boolean tryAcquire(long nowMicros) {
    if (available(nowMicros) < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
