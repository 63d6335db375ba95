package org.dewreach.sim;

import java.util.stream.Stream;

/**
 * Schedules a combination of two faults and checks that they had the intended effect. The comment
 * on each combination names the code without which it fails: it violates a rule once that code is
 * removed.
 */
interface FaultCombination {
  /** Returns all combinations, grouped by the component they affect. */
  static Stream<FaultCombination> all() {
    return Stream.<FaultCombination[]>of(
            LeaderFaultCombination.values(),
            KeyValueStoreFaultCombination.values(),
            WorkerFaultCombination.values())
        .flatMap(Stream::of);
  }

  /** Returns the name by which the property {@code sim.combination} selects the combination. */
  String name();

  /** Schedules the faults in the given scenario, and sets when the last of them ends. */
  void schedule(FaultScenario scenario);

  /** Returns true if the faults had the effect that the combination is meant to have. */
  boolean tookPlace(FaultScenario scenario);
}
