package org.dewreach.heartbeat;

import org.dewreach.wire.Heartbeat;

/** What came of a call to a worker. */
sealed interface WorkerReply {
  /**
   * The worker answered with its state.
   *
   * @param heartbeat its state, in the form of a heartbeat
   */
  record State(Heartbeat heartbeat) implements WorkerReply {}

  /**
   * Something answered, but not with the state of that worker.
   *
   * @param cause what is wrong with the answer
   */
  record Malformed(String cause) implements WorkerReply {}

  /**
   * No answer came, or one that is none of the protocol's.
   *
   * @param status the HTTP status, or 0 if no response came
   */
  record Failed(int status) implements WorkerReply {}
}
