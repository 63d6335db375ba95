package org.dewreach.heartbeat;

import org.dewreach.wire.Heartbeat;

/** The outcome of a request to a worker. */
sealed interface WorkerReply {
  /**
   * The worker replied with its state.
   *
   * @param heartbeat the state, in the form of a heartbeat
   */
  record State(Heartbeat heartbeat) implements WorkerReply {}

  /**
   * A reply arrived, but it is not the state of that worker.
   *
   * @param cause what is wrong with the reply
   */
  record Malformed(String cause) implements WorkerReply {}

  /**
   * No reply arrived, or one with a status that the protocol does not define.
   *
   * @param status the HTTP status, or 0 if no reply arrived
   */
  record Failed(int status) implements WorkerReply {}
}
