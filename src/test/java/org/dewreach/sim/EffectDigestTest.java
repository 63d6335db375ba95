package org.dewreach.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Digests of drawn days, to show that a refactoring changes nothing that leaves a controller.
 *
 * <p>{@code -Dsim.digest=40} prints one line for each of so many seeds; compare the lines of the
 * sources before and after.
 */
class EffectDigestTest {
  private static final long FIRST_SEED = 2_000;

  @Test
  @DisplayName("The same seed gives the same effects in the same order")
  void sameSeedSameEffects() {
    assertEquals(digestOfDay(FIRST_SEED), digestOfDay(FIRST_SEED));
  }

  @Test
  @DisplayName("Different seeds give different effects; all digests are printed if asked for")
  void differentSeedsDiffer() {
    int seeds = Integer.getInteger("sim.digest", 2);
    String previous = "";
    for (long seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
      String digest = digestOfDay(seed);
      assertTrue(!digest.equals(previous), "seed " + seed + " plays the day of the seed before it");
      previous = digest;
      if (System.getProperty("sim.digest") != null) {
        System.out.println("digest of seed " + seed + ": " + digest);
      }
    }
  }

  private static String digestOfDay(long seed) {
    Simulation simulation = RulesTest.runSimulation(seed, true);
    return simulation.digest.effects() + " effects, " + simulation.digest.toHex();
  }
}
