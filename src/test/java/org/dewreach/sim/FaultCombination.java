package org.dewreach.sim;

import java.util.stream.Stream;

/** How a combination of two faults is brought about, and what shows that it took place. */
interface FaultCombination {
  /** All combinations, by theme. */
  static Stream<FaultCombination> all() {
    return Stream.<FaultCombination[]>of(
            LeaderFaultCombination.values(),
            KeyValueStoreFaultCombination.values(),
            WorkerFaultCombination.values())
        .flatMap(Stream::of);
  }

  /** The name by which {@code sim.combination} selects it. */
  String name();

  /** Schedules the faults on the given day, and sets when the last of them is over. */
  void schedule(FaultScenario day);

  /** Whether the faults had the effect that the combination is about. */
  boolean tookPlace(FaultScenario day);
}
