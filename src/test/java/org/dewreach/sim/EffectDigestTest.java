package org.dewreach.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Digests of the effects in random scenarios, to verify that a refactoring changes nothing that a
 * controller sends.
 *
 * <p>{@code -Dsim.digest=40} prints one line for each of 40 seeds; compare these lines between the
 * sources before and after a change.
 */
class EffectDigestTest {
  private static final long FIRST_SEED = 2_000;

  @Test
  @DisplayName("The same seed gives the same effects in the same order")
  void sameSeedSameEffects() {
    assertEquals(digestOfScenario(FIRST_SEED), digestOfScenario(FIRST_SEED));
  }

  @Test
  @DisplayName("Different seeds give different effects; -Dsim.digest prints all digests")
  void differentSeedsDiffer() {
    int seeds = Integer.getInteger("sim.digest", 2);
    String previous = "";
    for (long seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
      String digest = digestOfScenario(seed);
      assertTrue(
          !digest.equals(previous), "seed " + seed + " has the same effects as the seed before it");
      previous = digest;
      if (System.getProperty("sim.digest") != null) {
        System.out.println("digest of seed " + seed + ": " + digest);
      }
    }
  }

  private static String digestOfScenario(long seed) {
    Simulation simulation = RulesTest.runSimulation(seed, true);
    return simulation.digest.effectCount() + " effects, " + simulation.digest.toHex();
  }
}
