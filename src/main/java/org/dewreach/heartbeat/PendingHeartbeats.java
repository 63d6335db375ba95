package org.dewreach.heartbeat;

import java.util.ArrayDeque;
import java.util.Deque;
import org.dewreach.wire.Heartbeat;

/**
 * Holds heartbeats that arrive while it is undecided which controller leads.
 *
 * <p>A worker whose heartbeat is rejected tries the next controller a second later; after a failure
 * of all controllers, that delayed workers past their lease expiry. Shortly afterwards the
 * heartbeat can be answered, or redirected.
 */
public final class PendingHeartbeats {
  /** Well within the 4 s that a worker waits for a response. */
  private static final long MAX_WAIT_MICROS = 1_500_000;

  private record Pending(long requestId, Heartbeat heartbeat, long sinceMicros) {}

  /** Responds to a heartbeat. */
  @FunctionalInterface
  public interface HeartbeatResponder {
    /** Responds to the request that carried the heartbeat. */
    void respond(long requestId, Heartbeat heartbeat);
  }

  private final int capacity;
  private final Deque<Pending> pending = new ArrayDeque<>();

  /**
   * Creates an empty queue.
   *
   * @param capacity the maximum number of heartbeats held; a connection carries one at a time, so
   *     the number of connections suffices
   */
  public PendingHeartbeats(int capacity) {
    this.capacity = capacity;
  }

  /** True if no more heartbeats may be added. */
  public boolean isFull() {
    return pending.size() >= capacity;
  }

  /** True if no heartbeat is held. */
  public boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Holds a heartbeat until {@link #respondToDue} responds to it. */
  public void add(long requestId, Heartbeat heartbeat, long nowMicros) {
    pending.add(new Pending(requestId, heartbeat, nowMicros));
  }

  /**
   * Responds to the heartbeats that need not, or must not, wait any longer.
   *
   * @param undecided true if it is still undecided which controller leads
   */
  public void respondToDue(boolean undecided, long nowMicros, HeartbeatResponder responder) {
    while (!pending.isEmpty()
        && (!undecided || nowMicros - pending.peek().sinceMicros() >= MAX_WAIT_MICROS)) {
      Pending next = pending.poll();
      responder.respond(next.requestId(), next.heartbeat());
    }
  }
}
