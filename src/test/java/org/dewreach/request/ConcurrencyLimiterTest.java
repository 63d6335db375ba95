package org.dewreach.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.dewreach.wire.UserResponse;
import org.junit.jupiter.api.Test;

/** Tests how the limit adapts to the durations of requests, and which requests count for it. */
class ConcurrencyLimiterTest {
  private static final long MILLISECOND = 1_000;
  private static final UserResponse OK = UserResponse.empty(200);

  private final ConcurrencyLimiter limiter = new ConcurrencyLimiter();

  /**
   * Admits requests that arrive 1 ms apart and complete after the given time; returns how many are
   * shed.
   */
  private int burst(int arrivals, long tookMicros) {
    Deque<ConcurrencyLimiter.Admitted> open = new ArrayDeque<>();
    int shed = 0;
    long now = 0;
    for (int i = 0; i < arrivals; i++, now += MILLISECOND) {
      while (!open.isEmpty() && open.peek().sinceMicros() + tookMicros <= now) {
        limiter.complete(open.poll(), OK, now);
      }
      if (limiter.shedIfAtLimit()) {
        shed++;
      } else {
        open.add(limiter.admit(now));
      }
    }
    while (!open.isEmpty()) {
      ConcurrencyLimiter.Admitted entry = open.poll();
      limiter.complete(entry, OK, entry.sinceMicros() + tookMicros);
    }
    return shed;
  }

  @Test
  void slowResponsesShrinkTheLimitAndABurstIsShed() {
    int before = limiter.limit();
    int shed = burst(5_000, 2_000 * MILLISECOND);
    assertTrue(shed > 3_000, "shed " + shed);
    assertTrue(limiter.limit() < before / 2, "limit " + limiter.limit());
    assertFalse(limiter.shedIfAtLimit(), "no request is in progress any more");
  }

  @Test
  void fastResponsesGrowTheLimitAndNothingIsShed() {
    int before = limiter.limit();
    assertEquals(0, burst(2_000, 80 * MILLISECOND));
    assertTrue(limiter.limit() > before, "limit " + limiter.limit());
  }

  /**
   * Guards against a limit that shrinks during an outage of another service, which causes 503
   * responses after long waits.
   */
  @Test
  void retryResponsesDoNotChangeTheLimit() {
    int before = limiter.limit();
    for (int i = 0; i < 500; i++) {
      limiter.complete(limiter.admit(0), UserResponse.unavailable(1), 5_000 * MILLISECOND);
    }
    assertEquals(before, limiter.limit());
  }
}
