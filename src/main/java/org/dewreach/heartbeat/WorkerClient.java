package org.dewreach.heartbeat;

import org.dewreach.model.Machine;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.wire.DirectCommandRequest;

/** Sends requests to workers, with typed requests and replies. */
final class WorkerClient {
  /** The time to wait for a worker's reply. */
  static final long TIMEOUT_MICROS = 2_500_000;

  /** Handles the outcome of a request. */
  @FunctionalInterface
  interface ReplyHandler {
    /** Called exactly once per request. */
    void onReply(long nowMicros, WorkerReply reply);
  }

  private final Outbox outbox;

  WorkerClient(Outbox outbox) {
    this.outbox = outbox;
  }

  /**
   * Sends commands immediately. The worker rejects those of an earlier term, and those for another
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

  /** Requests the current state of a worker. */
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
