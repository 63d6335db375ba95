package org.dewreach.autoscaling;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the pools of which the cloud recently had too few machines, each with a pause that doubles
 * with every refusal, up to a maximum.
 */
final class RefusalBackoff {
  private static final long INITIAL_PAUSE_MICROS = 8_000_000;
  private static final long MAX_PAUSE_MICROS = 40_000_000;

  private record Pause(long untilMicros, long lengthMicros) {}

  /** Identifies a pool without its prices, which change over time. */
  private record Key(String type, String zone, boolean spot) {
    static Key of(MachinePool pool) {
      return new Key(pool.type().name(), pool.zone(), pool.spot());
    }
  }

  private final Map<Key, Pause> pauses = new HashMap<>();

  /**
   * Excludes a pool for a while, longer each time, because the cloud had too few machines of it.
   */
  void onRefused(MachinePool pool, long nowMicros) {
    Pause last = pauses.get(Key.of(pool));
    long length =
        last == null
            ? INITIAL_PAUSE_MICROS
            : Math.min(MAX_PAUSE_MICROS, Math.max(INITIAL_PAUSE_MICROS, last.lengthMicros() * 2));
    pauses.put(Key.of(pool), new Pause(nowMicros + length, length));
  }

  /** Ends the pause of a pool of which the cloud had as many machines as requested. */
  void onFulfilled(MachinePool pool) {
    pauses.remove(Key.of(pool));
  }

  /** True if machines of the pool may be requested now. */
  boolean available(MachinePool pool, long nowMicros) {
    Pause pause = pauses.get(Key.of(pool));
    return pause == null || pause.untilMicros() <= nowMicros;
  }
}
