package org.dewreach.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the state that is derived from a worker's heartbeats: {@link HeartbeatState}. */
class HeartbeatStateTest {
  private final HeartbeatState heartbeats = new HeartbeatState(0);

  @Test
  void heartbeatsAreOrderedByIncarnationThenBySequence() {
    heartbeats.recordSequence(4, 7);
    assertTrue(heartbeats.isNewer(5, 0));
    assertTrue(heartbeats.isNewer(4, 8));
    assertFalse(heartbeats.isNewer(4, 7));
    assertFalse(heartbeats.isNewer(3, 9));
  }

  @Test
  void twoConsecutiveLostResponsesMarkTheMachineAsMissingResponses() {
    heartbeats.recordResponseDelivery(false);
    assertFalse(heartbeats.missesResponses());
    heartbeats.recordResponseDelivery(false);
    assertTrue(heartbeats.missesResponses());
    heartbeats.recordResponseDelivery(true);
    assertFalse(heartbeats.missesResponses());
  }

  @Test
  void aMachineIsUnreachableUntilItsNextHeartbeat() {
    heartbeats.markUnreachable();
    assertTrue(heartbeats.unreachable());
    heartbeats.recordHeartbeat(9);
    assertFalse(heartbeats.unreachable());
    assertEquals(9, heartbeats.lastHeartbeat());
  }
}
