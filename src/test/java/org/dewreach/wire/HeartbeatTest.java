package org.dewreach.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

/** What a report may hold. */
class HeartbeatTest {
  private static ObjectNode report() {
    ObjectNode body =
        Codec.map().put("host", "vm-1").put("address", "10.0.0.1:9").put("build", "b");
    body.put("site", "a").put("loaners", true).put("tenure", 1).put("tally", 2).put("warrant", 3);
    body.putArray("pieces");
    return body;
  }

  /**
   * Guard: {@code Heartbeat.recall}. A machine whose time is up is still heard: its report turned
   * away would cost its tasks their lease, and nobody would be told that it is taken.
   */
  @Test
  void aRecallThatIsOverdueLeavesNoTime() throws MalformedException {
    assertEquals(0, Heartbeat.parse(report().put("recall_s", -0.25)).reclaimMicros());
    assertEquals(0, Heartbeat.parse(report().put("recall_s", -1)).reclaimMicros());
    assertEquals(1_500_000, Heartbeat.parse(report().put("recall_s", 1.5)).reclaimMicros());
    assertEquals(-1, Heartbeat.parse(report().putNull("recall_s")).reclaimMicros());
    assertEquals(-1, Heartbeat.parse(report()).reclaimMicros());
  }
}
