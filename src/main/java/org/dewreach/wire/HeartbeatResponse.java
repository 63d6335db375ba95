package org.dewreach.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * The answer to a heartbeat: it renews the worker's lease and carries commands.
 *
 * @param token the fencing token of the leader that answers, which is its term
 * @param commands what the worker is to do, in this order
 */
public record HeartbeatResponse(long token, List<WorkerCommand> commands) {
  /** Keeps the commands as they are now. */
  public HeartbeatResponse {
    commands = List.copyOf(commands);
  }

  /** An answer that renews the lease and commands nothing. */
  public static HeartbeatResponse withoutCommands(long token) {
    return new HeartbeatResponse(token, List.of());
  }

  /** The response as a worker reads it. */
  public ObjectNode toNode() {
    ObjectNode node = Codec.map().put("warrant", token);
    WorkerCommand.putAll(node, commands);
    return node;
  }
}
