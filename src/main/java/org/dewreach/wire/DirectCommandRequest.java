package org.dewreach.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Commands that are sent to a worker at once, instead of in the response to its next heartbeat
 * (`POST /do`).
 *
 * @param token the fencing token of the leader that sends them, which is its term
 * @param incarnation the worker's incarnation; a worker in any other one refuses the commands
 * @param commands what the worker is to do, in this order
 */
public record DirectCommandRequest(long token, long incarnation, List<WorkerCommand> commands) {
  /** Keeps the commands as they are now. */
  public DirectCommandRequest {
    commands = List.copyOf(commands);
  }

  /** The request as a worker reads it. */
  public ObjectNode toNode() {
    ObjectNode node = Codec.map().put("warrant", token).put("tenure", incarnation);
    WorkerCommand.putAll(node, commands);
    return node;
  }
}
