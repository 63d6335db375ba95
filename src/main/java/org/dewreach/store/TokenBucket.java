package org.dewreach.store;

/** A token bucket that refills with event time. */
public final class TokenBucket {
  private static final double MICROS_PER_SECOND = 1e6;

  private final double tokensPerMicro;
  private final double capacity;
  private double tokens;
  private long refilledAtMicros;

  /**
   * A full bucket.
   *
   * @param perSecond tokens that are added each second
   * @param burst how many tokens it holds, at least 1
   */
  public TokenBucket(double perSecond, double burst) {
    this.tokensPerMicro = perSecond / MICROS_PER_SECOND;
    this.capacity = Math.max(1, burst);
    this.tokens = this.capacity;
  }

  private void refill(long nowMicros) {
    if (nowMicros > refilledAtMicros) {
      tokens = Math.min(capacity, tokens + (nowMicros - refilledAtMicros) * tokensPerMicro);
      refilledAtMicros = nowMicros;
    }
  }

  /** Whole tokens that are available now; negative while the bucket is in debt. */
  public int available(long nowMicros) {
    refill(nowMicros);
    return (int) tokens;
  }

  /** Consumes tokens, also into debt, so that a large request is possible but paid for. */
  public void consume(long nowMicros, double count) {
    refill(nowMicros);
    tokens -= count;
  }

  /** Returns tokens that were consumed and turned out not to be needed. */
  public void refund(double count) {
    tokens = Math.min(capacity, tokens + count);
  }

  /** Consumes one token if one is available. */
  public boolean tryAcquire(long nowMicros) {
    if (available(nowMicros) < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
