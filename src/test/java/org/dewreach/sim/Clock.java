package org.dewreach.sim;

import java.util.PriorityQueue;

/** The simulated time, in microseconds, and the queue of scheduled actions. */
final class Clock {
  /** One second, in microseconds. */
  static final long SECOND = 1_000_000;

  /** A scheduled action; actions of the same time run in the order in which they were added. */
  private record Entry(long at, long order, Runnable action) implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Entry> queue = new PriorityQueue<>();
  private long now;
  private long order;

  long now() {
    return now;
  }

  /** Schedules an action at a time; a time in the past means now. */
  void at(long micros, Runnable action) {
    queue.add(new Entry(Math.max(now, micros), order++, action));
  }

  /** Schedules an action after a delay. */
  void in(long micros, Runnable action) {
    at(now + micros, action);
  }

  /** Runs the next action; returns false if none is scheduled up to the end. */
  boolean step(long endMicros) {
    Entry next = queue.peek();
    if (next == null || next.at() > endMicros) {
      return false;
    }
    queue.poll();
    now = next.at();
    next.action().run();
    return true;
  }
}
