package org.dewreach.heartbeat;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.model.Machine;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.wire.DirectCommandRequest;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.HttpStatus;
import org.dewreach.wire.MalformedException;

/** Calls to workers, with typed requests and replies. */
final class WorkerClient {
  /** How long a worker's answer is waited for. */
  static final long TIMEOUT_MICROS = 2_500_000;

  /** What came of a call. */
  sealed interface Reply {
    /**
     * The worker answered with its state.
     *
     * @param heartbeat its state, in the form of a heartbeat
     */
    record State(Heartbeat heartbeat) implements Reply {}

    /**
     * The worker answered with something that is not its state.
     *
     * @param cause the field that is wrong, and how
     */
    record Malformed(String cause) implements Reply {}

    /**
     * No answer came, or one that is none of the protocol's.
     *
     * @param status the HTTP status, or 0 if no response came
     */
    record Failed(int status) implements Reply {}
  }

  /** Takes what came of a call. */
  @FunctionalInterface
  interface ReplyHandler {
    /** Called once per call. */
    void onReply(long nowMicros, Reply reply);
  }

  private final Outbox outbox;

  WorkerClient(Outbox outbox) {
    this.outbox = outbox;
  }

  /**
   * Sends commands at once. The worker answers with its state whether it carries them out or
   * refuses them, as it does those of an earlier term or for another incarnation.
   */
  void send(Machine machine, DirectCommandRequest request, ReplyHandler handler) {
    outbox.call(
        new Target.Worker(machine.address()),
        "POST",
        "/do",
        request.toNode(),
        TIMEOUT_MICROS,
        (now, status, body) -> {
          boolean answered = status == HttpStatus.OK || status == HttpStatus.CONFLICT;
          handler.onReply(now, answered ? state(machine, body) : new Reply.Failed(status));
        });
  }

  /** Asks a worker for its present state. */
  void readState(Machine machine, ReplyHandler handler) {
    outbox.call(
        new Target.Worker(machine.address()),
        "GET",
        "/status",
        null,
        TIMEOUT_MICROS,
        (now, status, body) ->
            handler.onReply(
                now, status == HttpStatus.OK ? state(machine, body) : new Reply.Failed(status)));
  }

  private static Reply state(Machine machine, JsonNode body) {
    try {
      Heartbeat heartbeat = Heartbeat.parse(body);
      return heartbeat.machine().equals(machine.name())
          ? new Reply.State(heartbeat)
          : new Reply.Malformed("state of another machine: " + heartbeat.machine());
    } catch (MalformedException e) {
      return new Reply.Malformed(e.getMessage());
    }
  }
}
