package org.dewreach.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** Plays combinations of faults, each with several seeds. */
final class CombinationRun {
  private static final long FAULT_FREE_MICROS = 100_000_000;

  private CombinationRun() {}

  /** Three seeds of each combination; more with -Dsim.seeds, from -Dsim.from on. */
  static Stream<Arguments> seedsOf(Stream<? extends FaultCombination> combinations) {
    long from = Long.getLong("sim.from", 1);
    long seeds = Long.getLong("sim.seeds", 3);
    String only = System.getProperty("sim.combination", "");
    return combinations
        .filter(combination -> combination.name().startsWith(only))
        .flatMap(
            combination ->
                LongStream.range(from, from + seeds)
                    .mapToObj(seed -> Arguments.of(combination, seed)));
  }

  /** The rules hold on such a day, and the combination really took place. */
  static void assertRulesHold(FaultCombination combination, long seed) {
    FaultScenario day = new FaultScenario(seed);
    combination.schedule(day);
    Simulation simulation = day.simulation;
    simulation.checker.faultsEndAt = day.faultsEndAt;
    simulation.runUntil(day.faultsEndAt + FAULT_FREE_MICROS);
    assertEquals(List.of(), simulation.checker.violations, combination + ", seed " + seed);
    assertTrue(
        combination.tookPlace(day),
        "it did not take place: "
            + day.leaderChanges()
            + " leaders, "
            + day.cancellations()
            + " withdrawn");
  }
}
