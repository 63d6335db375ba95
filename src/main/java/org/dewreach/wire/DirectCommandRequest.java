package org.dewreach.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Commands sent to a worker immediately instead of in the response to its next heartbeat ({@code
 * POST /do}).
 *
 * @param token the fencing token of the leader that sends the commands, which is its term
 * @param incarnation the worker's incarnation; a worker with any other one rejects the commands
 * @param commands the commands, in the order of their execution
 */
public record DirectCommandRequest(long token, long incarnation, List<WorkerCommand> commands) {
  /** Copies the list of commands. */
  public DirectCommandRequest {
    commands = List.copyOf(commands);
  }

  /** Returns the request's wire form. */
  public ObjectNode toNode() {
    ObjectNode node = Codec.map().put("warrant", token).put("tenure", incarnation);
    WorkerCommand.putAll(node, commands);
    return node;
  }
}
