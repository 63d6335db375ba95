package org.dewreach.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * The leader's response to a heartbeat: it renews the worker's lease and has commands for it.
 *
 * @param token the fencing token of the leader that responds, which is its term
 * @param commands the commands, in the order of their execution
 */
public record HeartbeatResponse(long token, List<WorkerCommand> commands) {
  /** Copies the list of commands. */
  public HeartbeatResponse {
    commands = List.copyOf(commands);
  }

  /** Returns a response that renews the lease and has no commands. */
  public static HeartbeatResponse withoutCommands(long token) {
    return new HeartbeatResponse(token, List.of());
  }

  /** Returns the response's wire form. */
  public ObjectNode toNode() {
    ObjectNode node = Codec.map().put("warrant", token);
    WorkerCommand.putAll(node, commands);
    return node;
  }
}
