package org.dewreach.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests from which workers this controller, leader or not, received recent heartbeats: {@link
 * LastHeartbeatTimes}.
 */
class LastHeartbeatTimesTest {
  private static final long SECOND = 1_000_000;

  private final LastHeartbeatTimes heartbeats = new LastHeartbeatTimes();

  @Test
  void countsOnlyRequestedMachinesWithARecentHeartbeat() {
    heartbeats.recordHeartbeat("m1", 10 * SECOND);
    heartbeats.recordHeartbeat("m2", 12 * SECOND);
    heartbeats.recordHeartbeat("m3", 12 * SECOND);
    assertEquals(1, heartbeats.countSeenSince(List.of("m1", "m2", "m4"), 11 * SECOND));
    heartbeats.recordHeartbeat("m1", 13 * SECOND);
    assertEquals(2, heartbeats.countSeenSince(List.of("m1", "m2", "m4"), 12 * SECOND));
  }

  @Test
  void oldHeartbeatsAreDropped() {
    heartbeats.recordHeartbeat("m1", SECOND);
    heartbeats.recordHeartbeat("m2", 2 * SECOND);
    heartbeats.recordHeartbeat("m1", 3 * SECOND);
    heartbeats.recordHeartbeat("m3", 62_500_000);
    assertEquals(2, heartbeats.countSeenSince(List.of("m1", "m2", "m3"), 0));
  }
}
