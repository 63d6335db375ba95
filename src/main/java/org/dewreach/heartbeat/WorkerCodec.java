package org.dewreach.heartbeat;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.MalformedException;

/** The paths of the worker API, and the decoding of its replies. */
final class WorkerCodec {
  /** The path at which a worker accepts direct commands. */
  static final String COMMANDS_PATH = "/do";

  /** The path at which a worker returns its state. */
  static final String STATE_PATH = "/status";

  private WorkerCodec() {}

  /**
   * Decodes the reply to direct commands. A worker returns its state whether it executes or rejects
   * them.
   */
  static WorkerReply commandReply(String machine, int status, JsonNode body) {
    boolean replied = status == HttpStatus.OK || status == HttpStatus.CONFLICT;
    return replied ? state(machine, body) : new WorkerReply.Failed(status);
  }

  /** Decodes the reply to a request for the worker's state. */
  static WorkerReply stateReply(String machine, int status, JsonNode body) {
    return status == HttpStatus.OK ? state(machine, body) : new WorkerReply.Failed(status);
  }

  private static WorkerReply state(String machine, JsonNode body) {
    try {
      Heartbeat heartbeat = Heartbeat.parse(body);
      return heartbeat.machine().equals(machine)
          ? new WorkerReply.State(heartbeat)
          : new WorkerReply.Malformed("state of another machine: " + heartbeat.machine());
    } catch (MalformedException e) {
      return new WorkerReply.Malformed(e.getMessage());
    }
  }
}
