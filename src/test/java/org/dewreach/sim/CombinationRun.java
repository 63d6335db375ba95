package org.dewreach.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** Runs combinations of faults, each with several seeds. */
final class CombinationRun {
  private static final long FAULT_FREE_MICROS = 100_000_000;

  private CombinationRun() {}

  /**
   * Returns each combination with three seeds. The property sim.seeds sets their number, sim.from
   * the first of them, and sim.combination the prefix of the names of the combinations to run.
   */
  static Stream<Arguments> seedsOf(Stream<? extends FaultCombination> combinations) {
    long from = Long.getLong("sim.from", 1);
    long seeds = Long.getLong("sim.seeds", 3);
    String prefix = System.getProperty("sim.combination", "");
    return combinations
        .filter(combination -> combination.name().startsWith(prefix))
        .flatMap(
            combination ->
                LongStream.range(from, from + seeds)
                    .mapToObj(seed -> Arguments.of(combination, seed)));
  }

  /** Asserts that no rule is violated and that the faults had their intended effect. */
  static void assertRulesHold(FaultCombination combination, long seed) {
    FaultScenario scenario = new FaultScenario(seed);
    combination.schedule(scenario);
    Simulation simulation = scenario.simulation;
    simulation.checker.faultsEndAt = scenario.faultsEndAt;
    simulation.runUntil(scenario.faultsEndAt + FAULT_FREE_MICROS);
    assertEquals(List.of(), simulation.checker.violations, combination + ", seed " + seed);
    assertTrue(
        combination.tookPlace(scenario),
        "the faults did not have the intended effect: "
            + scenario.leaderChanges()
            + " leader changes, "
            + scenario.cancellations()
            + " cancellations");
  }
}
