package org.dewreach.sim;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** Delays, losses and cuts between named hosts. */
final class Network {
  private final Clock clock;
  private final Random random;
  private final Map<String, Long> cutUntil = new HashMap<>();
  private final Map<String, Boolean> holds = new HashMap<>();
  private final Map<String, Long> refusedUntil = new HashMap<>();
  double lossRate;

  /** Share of what is sent to and from machines that is held up for 1 to 8 s. */
  double delayRate;

  Network(Clock clock, Random random) {
    this.clock = clock;
    this.random = random;
  }

  /** Cuts one direction; held packets arrive after the cut, others are lost. */
  void cut(String from, String to, long untilMicros, boolean hold) {
    cutUntil.put(from + ">" + to, untilMicros);
    holds.put(from + ">" + to, hold);
  }

  /** Connections are refused at once, instead of hanging. */
  void refuse(String from, String to, long untilMicros) {
    refusedUntil.put(from + ">" + to, untilMicros);
  }

  boolean refused(String from, String to) {
    return clock.now() < refusedUntil.getOrDefault(from + ">" + to, 0L);
  }

  /** Cuts both directions. */
  void partition(String one, String other, long untilMicros, boolean hold) {
    cut(one, other, untilMicros, hold);
    cut(other, one, untilMicros, hold);
  }

  /** Delivers, perhaps late, perhaps never. */
  void send(String from, String to, Runnable delivery) {
    send(from, to, random, delivery);
  }

  /** As above; what happens to this message is drawn from the given source. */
  void send(String from, String to, Random random, Runnable delivery) {
    String link = from + ">" + to;
    long delay = 300 + random.nextInt(4_000);
    if (random.nextInt(200) == 0) {
      delay += random.nextInt(400_000);
    }
    boolean machine = from.startsWith("vm-") || to.startsWith("vm-");
    if (delayRate > 0 && machine && random.nextDouble() < delayRate) {
      delay += 1_000_000 + random.nextInt(7_000_000);
    }
    long until = cutUntil.getOrDefault(link, 0L);
    if (clock.now() < until) {
      if (!holds.get(link)) {
        return;
      }
      delay += until - clock.now();
    } else if (random.nextDouble() < lossRate) {
      if (random.nextBoolean()) {
        return;
      }
      delay += random.nextInt(20_000_000);
    }
    clock.in(delay, delivery);
  }
}
