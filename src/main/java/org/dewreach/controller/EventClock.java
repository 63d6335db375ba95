package org.dewreach.controller;

import java.util.function.LongSupplier;

/** Event time: the time of the latest event. It never goes back. */
final class EventClock implements LongSupplier {
  private long nowMicros;

  void advanceTo(long eventMicros) {
    nowMicros = Math.max(nowMicros, eventMicros);
  }

  long now() {
    return nowMicros;
  }

  @Override
  public long getAsLong() {
    return nowMicros;
  }
}
