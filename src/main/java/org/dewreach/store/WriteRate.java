package org.dewreach.store;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The rate at which mutations are sent, which follows the key-value store's rate limit: it drops by
 * a factor when the store reports that the limit is exceeded, and then rises steadily up to the
 * configured rate.
 */
final class WriteRate {
  private static final Logger LOG = LoggerFactory.getLogger(WriteRate.class);

  private static final double DECREASE_FACTOR = 0.8;

  /** The share of the configured rate that is regained per second. */
  private static final double INCREASE_PER_SECOND = 0.01;

  /** The rate never drops below this share of the configured rate. */
  private static final double MIN_SHARE = 0.2;

  /** Rejections of requests that were sent before a decrease do not decrease the rate again. */
  private static final long MIN_DECREASE_INTERVAL_MICROS = 1_000_000;

  /** The number of mutations that may always be sent at once; no single write has more. */
  private static final int MIN_BATCH = 2;

  private static final double MICROS_PER_SECOND = 1e6;

  private final double configuredPerSecond;
  private final TokenBucket tokens;
  private double share = 1;
  private int maxBatch = Integer.MAX_VALUE;
  private long changedAt;
  private long decreaseAllowedAt;

  /** Creates a rate that allows a burst of one second's worth. */
  WriteRate(double perSecond) {
    this.configuredPerSecond = perSecond;
    this.tokens = new TokenBucket(perSecond, burst());
  }

  /** Returns how many mutations may be sent now; negative after a larger transaction. */
  int available(long nowMicros) {
    recover(nowMicros);
    return Math.min(maxBatch, tokens.available(nowMicros));
  }

  /** Records that mutations are sent. */
  void consume(long nowMicros, int mutations) {
    tokens.consume(nowMicros, mutations);
  }

  /**
   * Records that the store did not execute a transaction because a rate limit was exceeded. The
   * next one is smaller: the transaction may have had more mutations than the store ever allows at
   * once.
   */
  void onRateLimited(long nowMicros, int mutations) {
    recover(nowMicros);
    maxBatch = Math.max(MIN_BATCH, mutations / 2);
    if (nowMicros >= decreaseAllowedAt) {
      decreaseAllowedAt = nowMicros + MIN_DECREASE_INTERVAL_MICROS;
      share = Math.max(MIN_SHARE, share * DECREASE_FACTOR);
      LOG.info("write rate lowered: per_second={}", perSecond());
    }
    tokens.changeRate(nowMicros, perSecond(), burst());
    tokens.drain(nowMicros);
  }

  /** Records that the store processed a transaction; the next one may be larger. */
  void onProcessed() {
    maxBatch = (int) Math.min(2L * maxBatch, Integer.MAX_VALUE);
  }

  /** Returns the present rate. */
  double perSecond() {
    return configuredPerSecond * share;
  }

  private double burst() {
    return Math.max(MIN_BATCH, perSecond());
  }

  private void recover(long nowMicros) {
    if (share < 1) {
      double regained = (nowMicros - changedAt) / MICROS_PER_SECOND * INCREASE_PER_SECOND;
      share = Math.min(1, share + regained);
      tokens.changeRate(nowMicros, perSecond(), burst());
    }
    changedAt = nowMicros;
  }
}
