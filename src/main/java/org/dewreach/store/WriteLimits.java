package org.dewreach.store;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The limits of the key-value store to which the leader's writes are fitted: as configured, or
 * lower once a response shows that the store has lowered them.
 *
 * <p>They are kept for the lifetime of the process. Guards against leaders that end one after the
 * other, or make no progress, because each of them sends again what the store rejected.
 */
public final class WriteLimits {
  private static final Logger LOG = LoggerFactory.getLogger(WriteLimits.class);

  /** The smallest size limit of a value that is inferred from a rejection. */
  private static final int MIN_INFERRED_VALUE_BYTES = 1024;

  private final WriteRate rate;
  private int maxValueBytes;
  private int maxMutations;
  private long rejectedTransactions;
  private long rateLimitedTransactions;

  /**
   * Creates limits.
   *
   * @param maxValueBytes the maximum size of a value, in the JSON form
   * @param maxMutations the maximum number of mutations in a transaction
   * @param mutationsPerSecond the rate at which mutations may be sent
   */
  public WriteLimits(int maxValueBytes, int maxMutations, double mutationsPerSecond) {
    this.maxValueBytes = maxValueBytes;
    this.maxMutations = maxMutations;
    this.rate = new WriteRate(mutationsPerSecond);
  }

  /** Returns the maximum size of a value in the JSON form, as far as it is known. */
  public int maxValueBytes() {
    return maxValueBytes;
  }

  /** Returns the number of transactions that the store rejected for good. */
  public long rejectedTransactions() {
    return rejectedTransactions;
  }

  /** Returns the number of transactions that exceeded a rate limit of the store. */
  public long rateLimitedTransactions() {
    return rateLimitedTransactions;
  }

  /** Returns the maximum number of mutations in a transaction, as far as it is known. */
  public int maxMutations() {
    return maxMutations;
  }

  void maxMutations(int newMaxMutations) {
    maxMutations = newMaxMutations;
  }

  /** Returns the rate at which mutations may be sent. */
  WriteRate rate() {
    return rate;
  }

  void onRateLimited(long nowMicros, int mutations) {
    rateLimitedTransactions++;
    rate.onRateLimited(nowMicros, mutations);
  }

  void onRejected() {
    rejectedTransactions++;
  }

  /**
   * Records that a write was rejected in a transaction of its own. Its largest value may exceed a
   * limit that was lowered; half its size is assumed to be the limit then.
   */
  void onRejectedAlone(int largestValueBytes) {
    if (largestValueBytes <= MIN_INFERRED_VALUE_BYTES || largestValueBytes > maxValueBytes) {
      // A value above the known limit tells nothing new, and a small one was rejected for another
      // reason.
      return;
    }
    maxValueBytes = Math.max(MIN_INFERRED_VALUE_BYTES, largestValueBytes / 2);
    LOG.warn(
        "value limit lowered: max_value_bytes={} rejected_bytes={}",
        maxValueBytes,
        largestValueBytes);
  }
}
