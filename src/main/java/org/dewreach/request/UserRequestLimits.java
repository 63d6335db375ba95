package org.dewreach.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The users' requests in progress on this controller, their limits, and why users were told to come
 * back.
 *
 * <p>Questions have a limit of their own. Guards against answers that need no write being shed for
 * as long as requests that wait for writes fill the limit, as after an outage or while more jobs
 * come than can be written.
 */
public final class UserRequestLimits {
  private static final Logger LOG = LoggerFactory.getLogger(UserRequestLimits.class);

  /** Submissions and cancellations, which wait for writes. */
  private final ConcurrencyLimiter changes = new ConcurrencyLimiter();

  private final ConcurrencyLimiter questions = new ConcurrencyLimiter();
  private final RetryCounts retries = new RetryCounts();
  private final LongSupplier nowMicros;

  public UserRequestLimits(LongSupplier nowMicros) {
    this.nowMicros = nowMicros;
  }

  private ConcurrencyLimiter limiterOf(UserRequest request) {
    return request instanceof UserRequest.Query ? questions : changes;
  }

  /** True if the request is one too many; it is counted as shed then. */
  public boolean sheds(UserRequest request) {
    boolean full = limiterOf(request).full();
    if (full) {
      retries.add(RetryReason.LOAD_LIMIT);
    }
    return full;
  }

  /** Counts the request as in progress until it is answered; what is sent goes to the target. */
  public Responder enter(UserRequest request, Responder target) {
    ConcurrencyLimiter limiter = limiterOf(request);
    ConcurrencyLimiter.Entry entry = limiter.enter(nowMicros.getAsLong());
    Responder leaving =
        (status, body, retryAfterS) -> {
          limiter.leave(entry, status, nowMicros.getAsLong());
          target.send(status, body, retryAfterS);
        };
    return new CountingResponder(leaving, retries);
  }

  /** Logs what operators want to know from time to time. */
  public void log() {
    LOG.info("load of submissions and cancellations: {}", changes.summary());
    LOG.info("load of questions: {}", questions.summary());
    LOG.info("retries: {}", retries.summary());
  }

  /** Numbers for operators. */
  public void fill(ObjectNode node) {
    changes.fill(node.putObject("users"));
    questions.fill(node.putObject("questions"));
    retries.fill(node.putObject("retries"));
  }
}
