package org.dewreach.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.netflix.concurrency.limits.limit.AIMDLimit;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Users' requests in progress, how long they take, and how many may be at once.
 *
 * <p>The limit adjusts itself to measured times: it grows while answers come in time and shrinks
 * when they do not. It is fed with event time, so the core stays free of clocks. Health checks and
 * workers are not counted, and so never shed.
 */
public final class ConcurrencyLimiter {
  /** After how many seconds a user who was turned away is to ask again. */
  public static final int BUSY_RETRY_S = 2;

  private static final int FIRST_LIMIT = 100;
  private static final int MIN_LIMIT = 20;
  private static final int MAX_LIMIT = 400;

  /**
   * An answer that took longer is a sign of too much at once. Ours; users wait for 2 s at least.
   */
  private static final long SLOW_MICROS = 1_500_000;

  private static final long MAX_MICROS = 60_000_000;

  /** A request that was let in. */
  record Entry(long sinceMicros, int inProgress) {}

  private final AIMDLimit limit =
      AIMDLimit.newBuilder()
          .initialLimit(FIRST_LIMIT)
          .minLimit(MIN_LIMIT)
          .maxLimit(MAX_LIMIT)
          .timeout(SLOW_MICROS, TimeUnit.MICROSECONDS)
          .build();
  private final Histogram times = new Histogram(MAX_MICROS, 2);
  private int inProgress;
  private long answered;
  private long turnedAway;
  private long shed;

  /** True if one more would be too many; counts the request as shed then. */
  boolean full() {
    boolean full = inProgress >= limit.getLimit();
    if (full) {
      shed++;
    }
    return full;
  }

  Entry enter(long nowMicros) {
    return new Entry(nowMicros, ++inProgress);
  }

  void leave(Entry entry, int status, long nowMicros) {
    inProgress--;
    long took = Math.min(MAX_MICROS, Math.max(0, nowMicros - entry.sinceMicros()));
    times.recordValue(took);
    if (status >= 500) {
      // Told to come back for another reason than load: that time says nothing about it.
      turnedAway++;
      return;
    }
    answered++;
    limit.onSample(
        TimeUnit.MICROSECONDS.toNanos(entry.sinceMicros()),
        TimeUnit.MICROSECONDS.toNanos(took),
        entry.inProgress(),
        false);
  }

  int limit() {
    return limit.getLimit();
  }

  String summary() {
    return inProgress
        + " in progress of "
        + limit.getLimit()
        + ", "
        + answered
        + " answered, "
        + turnedAway
        + " turned away, "
        + shed
        + " shed, p50 "
        + times.getValueAtPercentile(50)
        + " us, p99 "
        + times.getValueAtPercentile(99)
        + " us";
  }

  void fill(ObjectNode node) {
    node.put("in_progress", inProgress).put("limit", limit.getLimit());
    node.put("answered", answered).put("turned_away", turnedAway).put("shed", shed);
    node.put("p50_us", times.getValueAtPercentile(50));
    node.put("p99_us", times.getValueAtPercentile(99));
    node.put("max_us", times.getMaxValue());
  }
}
