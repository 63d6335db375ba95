package org.dewreach.heartbeat;

import java.util.ArrayDeque;
import java.util.Deque;
import org.dewreach.wire.Heartbeat;

/**
 * Workers' reports that came while it was being decided who leads.
 *
 * <p>A worker that is turned away tries the next node a second later; after the end of all
 * controllers that took it past the end of its lease. A moment later it can be answered, or told
 * where to go.
 */
public final class PendingHeartbeats {
  /** Well within the 4 s that a worker waits. A default of this project. */
  private static final long MAX_WAIT_MICROS = 1_500_000;

  private record Waiting(long requestId, Heartbeat report, long sinceMicros) {}

  /** Answers a report. */
  public interface Answerer {
    void answer(long requestId, Heartbeat report);
  }

  private final int most;
  private final Deque<Waiting> waiting = new ArrayDeque<>();

  /**
   * None waits yet.
   *
   * @param most reports at once; a connection carries one at a time, so no more than connections
   */
  public PendingHeartbeats(int most) {
    this.most = most;
  }

  public boolean full() {
    return waiting.size() >= most;
  }

  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  public void add(long requestId, Heartbeat report, long nowMicros) {
    waiting.add(new Waiting(requestId, report, nowMicros));
  }

  /** Hands over what need not or must not wait any longer. */
  public void takeDue(boolean undecided, long nowMicros, Answerer answerer) {
    while (!waiting.isEmpty()
        && (!undecided || nowMicros - waiting.peek().sinceMicros() >= MAX_WAIT_MICROS)) {
      Waiting next = waiting.poll();
      answerer.answer(next.requestId(), next.report());
    }
  }
}
