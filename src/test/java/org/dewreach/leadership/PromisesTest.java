package org.dewreach.leadership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class PromisesTest {
  private static final long S = 1_000_000;

  @Test
  void aRunningPromiseKeepsLaterTermsFromActing() {
    Promises promises = new Promises(0);
    assertTrue(promises.promise(5, 10 * S));
    assertFalse(promises.letAct(9, 10 * S + 1));
    assertTrue(promises.letAct(9, 10 * S + Promises.PROMISE_MICROS));
    assertFalse(promises.promise(5, 20 * S), "a later term acts");
  }

  @Test
  void aNodeStartedAgainWaitsUntilItsForgottenPromisesAreOver() {
    Promises promises = new Promises(10 * S);
    assertFalse(promises.promise(5, 10 * S + Promises.PROMISE_MICROS));
    assertFalse(promises.letAct(9, 10 * S + Promises.PROMISE_MICROS));
    assertTrue(promises.letAct(9, 12 * S));
  }

  @Test
  void aTermWhoseKeyIsGoneGetsNoPromise() {
    Promises promises = new Promises(0);
    promises.over(8);
    assertFalse(promises.promise(7, 10 * S));
    assertTrue(promises.promise(8, 10 * S));
  }

  /** Two terms at three nodes, asked and restarted at random: never do both act. */
  @Test
  void neverTwoTermsAtOnce() {
    for (long seed = 0; seed < 400; seed++) {
      Random random = new Random(seed);
      Promises[] nodes = {new Promises(-9 * S), new Promises(-9 * S), new Promises(-9 * S)};
      long[] promisedUntil = {Long.MIN_VALUE, Long.MIN_VALUE, Long.MIN_VALUE};
      boolean laterActs = false;
      for (long now = 0; now < 30 * S; now += random.nextInt(300_000)) {
        int node = random.nextInt(3);
        boolean earlierActs =
            now < Math.min(promisedUntil[0], Math.min(promisedUntil[1], promisedUntil[2]));
        switch (random.nextInt(12)) {
          case 0 -> {
            // Node 1 is the later leader's: with it, the later term ends.
            nodes[node] = new Promises(now);
            laterActs &= node != 1;
          }
          case 1 -> laterActs |= nodes[1].letAct(20, now);
          default -> {
            // The earlier leader asks only while it acts, or at first.
            if ((now < 2 * S || earlierActs) && nodes[node].promise(10, now)) {
              promisedUntil[node] = now + Promises.COUNTED_MICROS;
            }
          }
        }
        earlierActs =
            now < Math.min(promisedUntil[0], Math.min(promisedUntil[1], promisedUntil[2]));
        assertFalse(laterActs && earlierActs, "seed " + seed + " at " + now);
      }
    }
  }
}
