package org.dewreach.request;

import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the users' requests in progress on this controller, and counts why users were told to
 * retry.
 *
 * <p>Queries have a separate limit. Guards against queries, which need no write, being shed for as
 * long as requests that wait for writes fill the limit, as after an outage or while jobs are
 * submitted faster than they can be written.
 */
public final class UserRequestLimits {
  private static final Logger LOG = LoggerFactory.getLogger(UserRequestLimits.class);

  /** Submissions and cancellations, which wait for writes. */
  private final ConcurrencyLimiter changes = new ConcurrencyLimiter();

  private final ConcurrencyLimiter queries = new ConcurrencyLimiter();
  private final RetryCounts retries = new RetryCounts();
  private final LongSupplier clock;

  /**
   * Creates limits without any request in progress.
   *
   * @param clock returns event time
   */
  public UserRequestLimits(LongSupplier clock) {
    this.clock = clock;
  }

  private ConcurrencyLimiter limiterOf(UserRequest request) {
    return request instanceof UserRequest.Query ? queries : changes;
  }

  /** Returns true, and counts the request as shed, if it would exceed its limit. */
  public boolean shedIfAtLimit(UserRequest request) {
    boolean shed = limiterOf(request).shedIfAtLimit();
    if (shed) {
      retries.add(RetryReason.LOAD_LIMIT);
    }
    return shed;
  }

  /** Counts the request as in progress until its response, which is passed on to the target. */
  public Responder admit(UserRequest request, Responder target) {
    ConcurrencyLimiter limiter = limiterOf(request);
    ConcurrencyLimiter.Admitted admitted = limiter.admit(clock.getAsLong());
    Responder completing =
        response -> {
          limiter.complete(admitted, response, clock.getAsLong());
          target.respond(response);
        };
    return new CountingResponder(completing, retries);
  }

  /** Logs a summary for operators. */
  public void logSummary() {
    LOG.info("user request load: kind=changes {}", changes.stats().summary());
    LOG.info("user request load: kind=queries {}", queries.stats().summary());
    LOG.info("users told to retry: {}", retries.summary());
  }

  /** Returns statistics for operators. */
  public UserRequestStats stats() {
    return new UserRequestStats(changes.stats(), queries.stats(), retries.snapshot());
  }
}
