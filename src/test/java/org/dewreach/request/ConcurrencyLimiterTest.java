package org.dewreach.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

class ConcurrencyLimiterTest {
  private static final long MS = 1_000;

  private final ConcurrencyLimiter load = new ConcurrencyLimiter();

  /** A burst of so many arrivals, 1 ms apart, each answered after the time given; how many shed. */
  private int burst(int arrivals, long tookMicros) {
    Deque<ConcurrencyLimiter.Entry> open = new ArrayDeque<>();
    int shed = 0;
    long now = 0;
    for (int i = 0; i < arrivals; i++, now += MS) {
      while (!open.isEmpty() && open.peek().sinceMicros() + tookMicros <= now) {
        load.leave(open.poll(), 200, now);
      }
      if (load.full()) {
        shed++;
      } else {
        open.add(load.enter(now));
      }
    }
    while (!open.isEmpty()) {
      ConcurrencyLimiter.Entry entry = open.poll();
      load.leave(entry, 200, entry.sinceMicros() + tookMicros);
    }
    return shed;
  }

  @Test
  void slowAnswersShrinkTheLimitAndABurstIsShed() {
    int before = load.limit();
    int shed = burst(5_000, 2_000 * MS);
    assertTrue(shed > 3_000, "shed " + shed);
    assertTrue(load.limit() < before / 2, "limit " + load.limit());
    assertFalse(load.full(), "nothing is in progress any more");
  }

  @Test
  void quickAnswersLetItGrowAndNothingIsShed() {
    int before = load.limit();
    assertEquals(0, burst(2_000, 80 * MS));
    assertTrue(load.limit() > before, "limit " + load.limit());
  }

  /** Guards against an outage elsewhere, answered 503 after long waits, closing the door here. */
  @Test
  void beingToldToComeBackSaysNothingAboutLoad() {
    int before = load.limit();
    for (int i = 0; i < 500; i++) {
      load.leave(load.enter(0), 503, 5_000 * MS);
    }
    assertEquals(before, load.limit());
  }
}
