package org.dewreach.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

/** How scenarios begin and end: a cluster that is busy already, and what holds of it afterwards. */
final class SimulationFixture {
  private SimulationFixture() {}

  /**
   * A small cluster that has run for a while.
   *
   * @param workloadUntil until when jobs arrive
   * @param everyMicros the mean time between two of them
   * @param now until when the cluster has run
   */
  static Simulation busyCluster(long seed, long workloadUntil, long everyMicros, long now) {
    Simulation simulation = new Simulation(seed);
    simulation.startWorkload(workloadUntil, everyMicros);
    simulation.runUntil(now);
    return simulation;
  }

  /** No rule was violated so far. */
  static void assertNoViolations(Simulation simulation) {
    assertEquals(List.of(), simulation.checker.violations);
  }

  /** No rule is violated until the time given; from the end of the faults on all are answered. */
  static void assertRulesHold(Simulation simulation, long faultsEndAt, long untilMicros) {
    simulation.checker.faultsEndAt = faultsEndAt;
    simulation.runUntil(untilMicros);
    assertNoViolations(simulation);
  }

  /** The users of all jobs were told how these ended. */
  static void assertAllJobsEnded(Simulation simulation) {
    assertAllEnded(simulation, simulation.users.ids());
  }

  /** The users of these jobs were told how they ended. */
  static void assertAllEnded(Simulation simulation, List<String> ids) {
    for (String id : ids) {
      assertNotNull(simulation.checker.reportedFinalState(id), id + " never ended");
    }
  }

  /** A node other than the given one leads. */
  static void assertFailover(Simulation simulation, String previousLeader) {
    String leader = simulation.controllers.leader();
    assertTrue(leader != null && !leader.equals(previousLeader), "nobody took over");
  }
}
