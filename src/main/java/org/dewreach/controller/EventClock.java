package org.dewreach.controller;

import java.util.function.LongSupplier;

/** The event time, which is the time of the latest event and never decreases. */
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
