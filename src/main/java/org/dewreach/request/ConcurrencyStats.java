package org.dewreach.request;

/**
 * Statistics of one {@link ConcurrencyLimiter} for operators. The durations are those of all
 * requests since the process started.
 *
 * @param inProgress requests without a response yet
 * @param limit how many requests may be in progress now
 * @param answered requests that were executed or rejected
 * @param toldToRetry admitted requests whose users were told to retry
 * @param shed requests that the limit did not admit
 * @param p50Micros the median duration
 * @param p99Micros the 99th percentile of the durations
 * @param maxMicros the longest duration
 */
public record ConcurrencyStats(
    int inProgress,
    int limit,
    long answered,
    long toldToRetry,
    long shed,
    long p50Micros,
    long p99Micros,
    long maxMicros) {

  /** Returns the statistics as {@code key=value} pairs for a log line. */
  String summary() {
    return "in_progress="
        + inProgress
        + " limit="
        + limit
        + " answered="
        + answered
        + " turned_away="
        + toldToRetry
        + " shed="
        + shed
        + " p50_us="
        + p50Micros
        + " p99_us="
        + p99Micros;
  }
}
