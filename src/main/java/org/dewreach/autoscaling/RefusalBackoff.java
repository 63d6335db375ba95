package org.dewreach.autoscaling;

import java.util.HashMap;
import java.util.Map;

/** The pools of which the cloud had no machines lately, each with a pause that doubles. */
final class RefusalBackoff {
  private static final long INITIAL_PAUSE_MICROS = 8_000_000;
  private static final long MAX_PAUSE_MICROS = 40_000_000;

  private record Pause(long untilMicros, long lengthMicros) {}

  /** A pool without its prices, which move. */
  private record Key(String type, String zone, boolean spot) {
    static Key of(MachinePool pool) {
      return new Key(pool.type().name(), pool.zone(), pool.spot());
    }
  }

  private final Map<Key, Pause> pauses = new HashMap<>();

  /** The cloud had too few machines of the pool: it is left out for a while, each time longer. */
  void onRefused(MachinePool pool, long nowMicros) {
    Pause last = pauses.get(Key.of(pool));
    long length =
        last == null
            ? INITIAL_PAUSE_MICROS
            : Math.min(MAX_PAUSE_MICROS, Math.max(INITIAL_PAUSE_MICROS, last.lengthMicros() * 2));
    pauses.put(Key.of(pool), new Pause(nowMicros + length, length));
  }

  /** The cloud had as many machines of the pool as were asked for. */
  void onFulfilled(MachinePool pool) {
    pauses.remove(Key.of(pool));
  }

  /** True if the pool may be asked for now. */
  boolean available(MachinePool pool, long nowMicros) {
    Pause pause = pauses.get(Key.of(pool));
    return pause == null || pause.untilMicros() <= nowMicros;
  }
}
