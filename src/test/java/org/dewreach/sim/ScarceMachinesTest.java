package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertRulesHold;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A cloud that has one machine and stays short of more, so that nothing but that machine can end
 * the wait of a job: whatever keeps tasks away from it has to end by itself.
 */
class ScarceMachinesTest {
  private static final long UP_AT = 40 * SECOND;
  private static final String LIVE = "req-live";
  private static final String LATE = "req-late";

  /** The time for which a job may wait beside a machine with room, and the end of its run. */
  private static final long LONGEST_WAIT_AND_RUN = 110 * SECOND;

  private static JobSpecBuilder service(String id) {
    return JobSpecBuilder.service(id)
        .jobClass("live")
        .team("red")
        .priority(Priority.HIGH)
        .types(List.of("big"))
        .resources(2, 2, 0);
  }

  private static JobSpecBuilder array(String id, int tasks) {
    return JobSpecBuilder.array(id)
        .jobClass("sweep")
        .team("blue")
        .tasks(tasks)
        .resources(1, 1, 0)
        .expectedMicros(5 * SECOND);
  }

  /** Returns a cluster with one machine, on which one replica runs. */
  private static Simulation clusterWithOneMachine(long seed) {
    Simulation simulation = new Simulation(seed);
    simulation.cloud.bootFailureTwelfths = 0;
    simulation.cloud.maxMachines = 1;
    simulation.startWorkload(0, 600 * SECOND);
    simulation.users.submitJob(service(LIVE).build());
    simulation.runUntil(UP_AT);
    assertEquals(1, simulation.workers().size());
    assertEquals(1, simulation.checker.workersRunning(LIVE).size());
    return simulation;
  }

  private static void assertRunsBesideTheService(
      Simulation simulation, long faultsEndAt, List<String> ids) {
    assertRulesHold(simulation, faultsEndAt, faultsEndAt + LONGEST_WAIT_AND_RUN);
    for (String id : ids) {
      assertEquals("done", simulation.checker.reportedFinalState(id), id);
    }
  }

  /** Guards against a healthy machine that stays quarantined for jobs that were cancelled since. */
  @ParameterizedTest(name = "seed {0}, cancelled after {1} s")
  @CsvSource({"1, 1", "2, 1", "3, 1", "4, 1", "1, 20", "2, 20", "3, 20", "1, 75", "2, 75"})
  @DisplayName("Cancelled jobs that failed on a machine do not bar it for others")
  void cancelledJobsBarNoMachine(long seed, int cancelledAfterS) {
    Simulation simulation = clusterWithOneMachine(seed);
    List<String> failing = List.of("req-bad1", "req-bad2");
    for (String id : failing) {
      simulation.users.failsAfterMicros.put(id, 500_000L);
      simulation.users.submitJob(array(id, 1).build());
    }
    simulation.runUntil(UP_AT + 10 * SECOND);
    failing.forEach(id -> assertTrue(simulation.checker.startsOf(id) > 0, id + " did not start"));
    long cancelledAt = UP_AT + (10 + cancelledAfterS) * SECOND;
    simulation.runUntil(cancelledAt);
    failing.forEach(simulation.requests::cancelUntilConfirmed);
    simulation.runUntil(cancelledAt + SECOND);
    simulation.users.submitJob(array(LATE, 1).build());
    assertRunsBesideTheService(simulation, cancelledAt + SECOND, List.of(LATE));
  }
}
