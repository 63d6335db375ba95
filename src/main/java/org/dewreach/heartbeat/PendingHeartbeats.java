package org.dewreach.heartbeat;

import java.util.ArrayDeque;
import java.util.Deque;
import org.dewreach.wire.Heartbeat;

/**
 * Heartbeats that came while it is being decided who leads.
 *
 * <p>A worker that is refused tries the next node a second later; after the end of all controllers
 * that took it past the end of its lease. A moment later it can be answered, or redirected.
 */
public final class PendingHeartbeats {
  /** Well within the 4 s that a worker waits. A default of this project. */
  private static final long MAX_WAIT_MICROS = 1_500_000;

  private record Pending(long requestId, Heartbeat heartbeat, long sinceMicros) {}

  /** Answers a heartbeat. */
  @FunctionalInterface
  public interface Responder {
    /** Answers the request with which the heartbeat came. */
    void respond(long requestId, Heartbeat heartbeat);
  }

  private final int capacity;
  private final Deque<Pending> pending = new ArrayDeque<>();

  /**
   * An empty queue.
   *
   * @param capacity heartbeats at once; a connection carries one at a time, so no more than
   *     connections
   */
  public PendingHeartbeats(int capacity) {
    this.capacity = capacity;
  }

  /** True if no more heartbeats may be added. */
  public boolean isFull() {
    return pending.size() >= capacity;
  }

  /** True if no heartbeat waits. */
  public boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Adds a heartbeat to those that wait. */
  public void add(long requestId, Heartbeat heartbeat, long nowMicros) {
    pending.add(new Pending(requestId, heartbeat, nowMicros));
  }

  /**
   * Answers what need not or must not wait any longer.
   *
   * @param undecided true if it is still not known who leads
   */
  public void respondToDue(boolean undecided, long nowMicros, Responder responder) {
    while (!pending.isEmpty()
        && (!undecided || nowMicros - pending.peek().sinceMicros() >= MAX_WAIT_MICROS)) {
      Pending next = pending.poll();
      responder.respond(next.requestId(), next.heartbeat());
    }
  }
}
