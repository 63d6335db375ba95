package org.dewreach.autoscaling;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.api.Test;

/** Tests for how long a machine pool is excluded after a refusal: {@link RefusalBackoff}. */
class RefusalBackoffTest {
  private static final long SECOND = 1_000_000;

  private final RefusalBackoff refusals = new RefusalBackoff();

  private static MachinePool pool(double price, String zone, boolean spot) {
    MachineType type =
        new MachineType("box", 8, 0, 32, 50, 1, price, price, 20 * SECOND, List.of("a", "b"));
    return new MachinePool(type, zone, spot);
  }

  private static MachinePool pool() {
    return pool(1, "a", false);
  }

  @Test
  void thePauseDoublesUpToItsMaximum() {
    long now = 0;
    for (long pause : new long[] {8 * SECOND, 16 * SECOND, 32 * SECOND, 40 * SECOND, 40 * SECOND}) {
      refusals.onRefused(pool(), now);
      assertFalse(refusals.available(pool(), now + pause - 1));
      assertTrue(refusals.available(pool(), now + pause));
      now += pause;
    }
  }

  @Test
  void aFulfilledRequestResetsTheBackoff() {
    refusals.onRefused(pool(), 0);
    refusals.onRefused(pool(), 0);
    refusals.onFulfilled(pool());
    assertTrue(refusals.available(pool(), 0));
    refusals.onRefused(pool(), 0);
    assertTrue(refusals.available(pool(), 8 * SECOND));
  }

  @Test
  void aRefusalHoldsForOnePoolWhateverItsPrice() {
    refusals.onRefused(pool(), 0);
    assertFalse(refusals.available(pool(2, "a", false), SECOND), "prices change");
    assertTrue(refusals.available(pool(1, "b", false), SECOND));
    assertTrue(refusals.available(pool(1, "a", true), SECOND));
  }
}
