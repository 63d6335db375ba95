package org.dewreach.leadership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that grants never let two terms act at the same time. */
class FollowerGrantsTest {
  private static final long SECOND = 1_000_000;

  @Test
  void aRunningGrantKeepsLaterTermsFromActing() {
    FollowerGrants followerGrants = new FollowerGrants(0);
    assertTrue(followerGrants.grant(5, 10 * SECOND));
    assertFalse(followerGrants.admitTerm(9, 10 * SECOND + 1));
    assertTrue(followerGrants.admitTerm(9, 10 * SECOND + FollowerGrants.GRANT_DURATION_MICROS));
    assertFalse(followerGrants.grant(5, 20 * SECOND), "a later term was admitted");
  }

  @Test
  void aRestartedControllerWaitsUntilItsEarlierGrantsHaveExpired() {
    FollowerGrants followerGrants = new FollowerGrants(10 * SECOND);
    assertFalse(followerGrants.grant(5, 10 * SECOND + FollowerGrants.GRANT_DURATION_MICROS));
    assertFalse(followerGrants.admitTerm(9, 10 * SECOND + FollowerGrants.GRANT_DURATION_MICROS));
    assertTrue(followerGrants.admitTerm(9, 12 * SECOND));
  }

  @Test
  void aTermWhoseKeyIsGoneGetsNoGrant() {
    FollowerGrants followerGrants = new FollowerGrants(0);
    followerGrants.fenceTermsBelow(8);
    assertFalse(followerGrants.grant(7, 10 * SECOND));
    assertTrue(followerGrants.grant(8, 10 * SECOND));
  }

  /**
   * Two terms and three controllers, with requests and restarts at random: the terms never act at
   * the same time.
   */
  @Test
  void neverTwoTermsAtOnce() {
    for (long seed = 0; seed < 400; seed++) {
      Random random = new Random(seed);
      FollowerGrants[] controllers = {
        new FollowerGrants(-9 * SECOND),
        new FollowerGrants(-9 * SECOND),
        new FollowerGrants(-9 * SECOND)
      };
      long[] grantedUntil = {Long.MIN_VALUE, Long.MIN_VALUE, Long.MIN_VALUE};
      boolean laterActs = false;
      for (long now = 0; now < 30 * SECOND; now += random.nextInt(300_000)) {
        int index = random.nextInt(3);
        boolean earlierActs =
            now < Math.min(grantedUntil[0], Math.min(grantedUntil[1], grantedUntil[2]));
        switch (random.nextInt(12)) {
          case 0 -> {
            // Controller 1 is the later leader, so its restart ends the later term.
            controllers[index] = new FollowerGrants(now);
            laterActs &= index != 1;
          }
          case 1 -> laterActs |= controllers[1].admitTerm(20, now);
          default -> {
            // The earlier leader requests grants only at first and while it may act.
            if ((now < 2 * SECOND || earlierActs) && controllers[index].grant(10, now)) {
              grantedUntil[index] = now + FollowerGrants.COUNTED_GRANT_DURATION_MICROS;
            }
          }
        }
        earlierActs = now < Math.min(grantedUntil[0], Math.min(grantedUntil[1], grantedUntil[2]));
        assertFalse(laterActs && earlierActs, "seed " + seed + " at " + now);
      }
    }
  }
}
