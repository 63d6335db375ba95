package org.dewreach.request;

import com.netflix.concurrency.limits.limit.AIMDLimit;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.dewreach.wire.UserResponse;

/**
 * Limits how many users' requests are in progress at once, and measures how long they take.
 *
 * <p>The limit adjusts itself to measured durations: it grows while requests complete in time and
 * shrinks when they do not. It is fed with event time, so the core stays free of clocks. Health
 * checks and heartbeats are not counted, and so never shed.
 */
public final class ConcurrencyLimiter {
  /** After how many seconds a user whose request was shed is to retry. */
  public static final int BUSY_RETRY_S = 2;

  private static final int INITIAL_LIMIT = 100;
  private static final int MIN_LIMIT = 20;
  private static final int MAX_LIMIT = 400;

  /**
   * A request that took longer is a sign of overload. A default of this project; users wait for 2 s
   * at least.
   */
  private static final long SLOW_REQUEST_MICROS = 1_500_000;

  private static final long MAX_DURATION_MICROS = 60_000_000;
  private static final double MEDIAN = 50;
  private static final double P99 = 99;

  /**
   * A request that was admitted.
   *
   * @param sinceMicros when it was admitted
   * @param inProgress how many were in progress then, itself included
   */
  record Admitted(long sinceMicros, int inProgress) {}

  private final AIMDLimit limit =
      AIMDLimit.newBuilder()
          .initialLimit(INITIAL_LIMIT)
          .minLimit(MIN_LIMIT)
          .maxLimit(MAX_LIMIT)
          .timeout(SLOW_REQUEST_MICROS, TimeUnit.MICROSECONDS)
          .build();
  private final Histogram durations = new Histogram(MAX_DURATION_MICROS, 2);
  private int inProgress;
  private long answered;
  private long toldToRetry;
  private long shed;

  /** True if one more request would exceed the limit; it is counted as shed then. */
  boolean shedIfAtLimit() {
    boolean atLimit = inProgress >= limit.getLimit();
    if (atLimit) {
      shed++;
    }
    return atLimit;
  }

  /** Counts a request as in progress until it is {@link #complete}. */
  Admitted admit(long nowMicros) {
    return new Admitted(nowMicros, ++inProgress);
  }

  /** Ends a request. */
  void complete(Admitted request, UserResponse response, long nowMicros) {
    inProgress--;
    long duration = Math.min(MAX_DURATION_MICROS, Math.max(0, nowMicros - request.sinceMicros()));
    durations.recordValue(duration);
    if (response.isServerError()) {
      // Told to retry for another reason than load: the duration says nothing about load.
      toldToRetry++;
      return;
    }
    answered++;
    limit.onSample(
        TimeUnit.MICROSECONDS.toNanos(request.sinceMicros()),
        TimeUnit.MICROSECONDS.toNanos(duration),
        request.inProgress(),
        false);
  }

  int limit() {
    return limit.getLimit();
  }

  ConcurrencyStats stats() {
    return new ConcurrencyStats(
        inProgress,
        limit.getLimit(),
        answered,
        toldToRetry,
        shed,
        durations.getValueAtPercentile(MEDIAN),
        durations.getValueAtPercentile(P99),
        durations.getMaxValue());
  }
}
