package org.dewreach.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the wire form of messages with commands to workers. */
class WorkerCommandTest {
  private static final TaskName TASK = new TaskName("req-000001", 3);
  private static final List<WorkerCommand> COMMANDS =
      List.of(
          new WorkerCommand.Stop(TASK, 7, 1_500_000),
          new WorkerCommand.Remove(TASK, 8),
          new WorkerCommand.Start(TASK, 9));
  private static final String ENCODED =
      "\"orders\":["
          + "{\"verb\":\"halt\",\"piece\":\"req-000001/3\",\"try\":7,\"wind_down_s\":1.5},"
          + "{\"verb\":\"clear\",\"piece\":\"req-000001/3\",\"try\":8},"
          + "{\"verb\":\"start\",\"piece\":\"req-000001/3\",\"try\":9}]}";

  @Test
  void aHeartbeatResponseHasTheTokenAndTheCommandsInOrder() {
    assertEquals(
        "{\"warrant\":90," + ENCODED, new HeartbeatResponse(90, COMMANDS).toNode().toString());
  }

  @Test
  void aHeartbeatResponseWithoutCommandsHasAnEmptyList() {
    assertEquals(
        "{\"warrant\":90,\"orders\":[]}",
        HeartbeatResponse.withoutCommands(90).toNode().toString());
  }

  @Test
  void aDirectCommandRequestNamesTheIncarnationItIsFor() {
    assertEquals(
        "{\"warrant\":90,\"tenure\":2," + ENCODED,
        new DirectCommandRequest(90, 2, COMMANDS).toNode().toString());
  }
}
