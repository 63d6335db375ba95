package org.dewreach.request;

import com.netflix.concurrency.limits.limit.AIMDLimit;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.dewreach.wire.UserResponse;

/**
 * Limits how many users' requests are in progress at once, and measures how long they take.
 *
 * <p>The limit adapts to the measured durations: it grows while requests complete in time and
 * shrinks when they do not. Callers pass event time, so that this class reads no clock. Health
 * checks and heartbeats are not counted, and therefore never shed.
 */
public final class ConcurrencyLimiter {
  /** The seconds after which a user whose request was shed is told to retry. */
  public static final int BUSY_RETRY_S = 2;

  private static final int INITIAL_LIMIT = 100;
  private static final int MIN_LIMIT = 20;
  private static final int MAX_LIMIT = 400;

  /** A request that takes longer is a sign of overload; users wait at least 2 s. */
  private static final long SLOW_REQUEST_MICROS = 1_500_000;

  private static final long MAX_DURATION_MICROS = 60_000_000;
  private static final double P50 = 50;
  private static final double P99 = 99;

  /**
   * An admitted request.
   *
   * @param sinceMicros when it was admitted
   * @param inProgress how many requests were in progress then, including this one
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

  /** Returns true, and counts a request as shed, if one more request would exceed the limit. */
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

  /** Ends a request, and adds its duration to the measurements. */
  void complete(Admitted request, UserResponse response, long nowMicros) {
    inProgress--;
    long duration = Math.min(MAX_DURATION_MICROS, Math.max(0, nowMicros - request.sinceMicros()));
    durations.recordValue(duration);
    if (response.isServerError()) {
      // The user is told to retry for a reason other than load, so the duration is no measure of
      // load.
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
        durations.getValueAtPercentile(P50),
        durations.getValueAtPercentile(P99),
        durations.getMaxValue());
  }
}
