package org.dewreach.sim;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** A simulated network between named hosts that delays, loses, holds back and refuses messages. */
final class Network {
  private final Clock clock;
  private final Random random;
  private final Map<String, Long> cutUntil = new HashMap<>();
  private final Map<String, Boolean> holdsMessages = new HashMap<>();
  private final Map<String, Long> refusedUntil = new HashMap<>();

  /** The share of messages that are lost, or with equal probability delayed by up to 20 s. */
  double lossRate;

  /** The share of messages to and from machines that are delayed by 1 to 8 s. */
  double delayRate;

  Network(Clock clock, Random random) {
    this.clock = clock;
    this.random = random;
  }

  /**
   * Cuts one direction of a link.
   *
   * @param hold true if messages are delivered after the cut, false if they are lost
   */
  void cut(String from, String to, long untilMicros, boolean hold) {
    cutUntil.put(from + ">" + to, untilMicros);
    holdsMessages.put(from + ">" + to, hold);
  }

  /** Refuses connections immediately, instead of letting them time out. */
  void refuse(String from, String to, long untilMicros) {
    refusedUntil.put(from + ">" + to, untilMicros);
  }

  boolean refused(String from, String to) {
    return clock.now() < refusedUntil.getOrDefault(from + ">" + to, 0L);
  }

  /** Cuts both directions of a link. */
  void partition(String one, String other, long untilMicros, boolean hold) {
    cut(one, other, untilMicros, hold);
    cut(other, one, untilMicros, hold);
  }

  /** Delivers a message after a random delay, or never if it is lost. */
  void send(String from, String to, Runnable delivery) {
    send(from, to, random, delivery);
  }

  /**
   * Delivers a message like {@link #send(String, String, Runnable)}, with the given random numbers.
   */
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
      if (!holdsMessages.get(link)) {
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
