package org.dewreach.heartbeat;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.MalformedException;

/** The paths of the workers' API, and the decoding of its answers. */
final class WorkerCodec {
  /** Where a worker takes direct commands. */
  static final String COMMANDS_PATH = "/do";

  /** Where a worker tells its state. */
  static final String STATE_PATH = "/status";

  private WorkerCodec() {}

  /**
   * The answer to direct commands. A worker tells its state whether it carries them out or refuses
   * them.
   */
  static WorkerReply commandReply(String machine, int status, JsonNode body) {
    boolean answered = status == HttpStatus.OK || status == HttpStatus.CONFLICT;
    return answered ? state(machine, body) : new WorkerReply.Failed(status);
  }

  /** The answer to the question for the worker's state. */
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
