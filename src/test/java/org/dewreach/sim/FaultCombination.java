package org.dewreach.sim;

import java.util.stream.Stream;

/**
 * A combination of two faults: schedules them and checks that they had the intended effect. The
 * comment on a combination names the code that it guards: without that code, a rule is violated.
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
