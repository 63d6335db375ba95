package org.dewreach.sim;

import java.util.PriorityQueue;

/** Simulated time and what is to happen when. */
final class Clock {
  /** A second of simulated time, which is counted in microseconds. */
  static final long SECOND = 1_000_000;

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

  void at(long micros, Runnable action) {
    queue.add(new Entry(Math.max(now, micros), order++, action));
  }

  void in(long micros, Runnable action) {
    at(now + micros, action);
  }

  /** Plays the next action; false if there is none before the end. */
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
