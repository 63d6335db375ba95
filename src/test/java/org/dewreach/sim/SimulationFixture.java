package org.dewreach.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

/** The common beginning of scenarios, a busy cluster, and the common assertions at their end. */
final class SimulationFixture {
  private SimulationFixture() {}

  /**
   * Returns a small cluster that has run its workload for a while.
   *
   * @param workloadUntil the time until which jobs are submitted
   * @param everyMicros the mean time between two submissions
   * @param now the time up to which the cluster has run
   */
  static Simulation busyCluster(long seed, long workloadUntil, long everyMicros, long now) {
    Simulation simulation = new Simulation(seed);
    simulation.startWorkload(workloadUntil, everyMicros);
    simulation.runUntil(now);
    return simulation;
  }

  /** Asserts that no rule was violated so far. */
  static void assertNoViolations(Simulation simulation) {
    assertEquals(List.of(), simulation.checker.violations);
  }

  /**
   * Runs until the given time and asserts that no rule is violated.
   *
   * @param faultsEndAt the end of the faults; after it queries about every job must succeed
   */
  static void assertRulesHold(Simulation simulation, long faultsEndAt, long untilMicros) {
    simulation.checker.faultsEndAt = faultsEndAt;
    simulation.runUntil(untilMicros);
    assertNoViolations(simulation);
  }

  /** Asserts that responses reported a final state of every job. */
  static void assertAllJobsEnded(Simulation simulation) {
    assertAllEnded(simulation, simulation.users.ids());
  }

  /** Asserts that responses reported a final state of each of the given jobs. */
  static void assertAllEnded(Simulation simulation, List<String> ids) {
    for (String id : ids) {
      assertNotNull(simulation.checker.reportedFinalState(id), id + " has no reported final state");
    }
  }

  /** Asserts that a controller other than the given one is the leader. */
  static void assertFailover(Simulation simulation, String previousLeader) {
    String leader = simulation.controllers.leader();
    assertTrue(
        leader != null && !leader.equals(previousLeader),
        "no other controller became leader: " + leader);
  }
}
