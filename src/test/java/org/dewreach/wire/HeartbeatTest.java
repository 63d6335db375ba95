package org.dewreach.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

/** Tests the parsing of heartbeats: {@link Heartbeat}. */
class HeartbeatTest {
  private static ObjectNode heartbeat() {
    ObjectNode body =
        Codec.map().put("host", "vm-1").put("address", "10.0.0.1:9").put("build", "b");
    body.put("site", "a").put("loaners", true).put("tenure", 1).put("tally", 2).put("warrant", 3);
    body.putArray("pieces");
    return body;
  }

  /**
   * Guards against rejecting the heartbeats of a machine whose reclaim time has passed, in {@code
   * Heartbeat.reclaimMicros}: the worker's lease would expire, which ends its tasks, and the leader
   * would not be informed of the reclaim.
   */
  @Test
  void aReclaimTimeThatHasPassedIsZero() throws MalformedException {
    assertEquals(0, Heartbeat.parse(heartbeat().put("recall_s", -0.25)).reclaimMicros());
    assertEquals(0, Heartbeat.parse(heartbeat().put("recall_s", -1)).reclaimMicros());
    assertEquals(1_500_000, Heartbeat.parse(heartbeat().put("recall_s", 1.5)).reclaimMicros());
    assertEquals(-1, Heartbeat.parse(heartbeat().putNull("recall_s")).reclaimMicros());
    assertEquals(-1, Heartbeat.parse(heartbeat()).reclaimMicros());
  }
}
