package org.dewreach.heartbeat;

import org.dewreach.model.Machine;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.wire.DirectCommandRequest;

/** Calls to workers, with typed requests and replies. */
final class WorkerClient {
  /** How long a worker's answer is waited for. */
  static final long TIMEOUT_MICROS = 2_500_000;

  /** Takes what came of a call. */
  @FunctionalInterface
  interface ReplyHandler {
    /** Called once per call. */
    void onReply(long nowMicros, WorkerReply reply);
  }

  private final Outbox outbox;

  WorkerClient(Outbox outbox) {
    this.outbox = outbox;
  }

  /**
   * Sends commands at once. The worker refuses those of an earlier term, and those for another
   * incarnation.
   */
  void send(Machine machine, DirectCommandRequest request, ReplyHandler handler) {
    outbox.call(
        new Target.Worker(machine.address()),
        "POST",
        WorkerCodec.COMMANDS_PATH,
        request.toNode(),
        TIMEOUT_MICROS,
        (now, status, body) ->
            handler.onReply(now, WorkerCodec.commandReply(machine.name(), status, body)));
  }

  /** Asks a worker for its present state. */
  void readState(Machine machine, ReplyHandler handler) {
    outbox.call(
        new Target.Worker(machine.address()),
        "GET",
        WorkerCodec.STATE_PATH,
        null,
        TIMEOUT_MICROS,
        (now, status, body) ->
            handler.onReply(now, WorkerCodec.stateReply(machine.name(), status, body)));
  }
}
