package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertRulesHold;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

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

  /** Guards against the rest of an array that waits beside room that is kept for services. */
  @ParameterizedTest(name = "seed {0}, services every {1} s after the burst")
  @CsvSource({"1, 0", "2, 0", "3, 0", "4, 0", "1, 25", "2, 25", "3, 25", "4, 25"})
  @DisplayName("The rest of an array is placed beside room that is kept for services")
  void theRestOfAnArrayIsPlaced(long seed, int servicesEveryS) {
    Simulation simulation = clusterWithOneMachine(seed);
    simulation.users.submitJob(array(LATE, 4).resources(1, 1, 0).build());
    simulation.clock.at(UP_AT + 3 * SECOND, () -> submitUrgentServices(simulation, "req-u", 6));
    long afterBurst = UP_AT + 15 * SECOND;
    if (servicesEveryS > 0) {
      for (long at = afterBurst; at < UP_AT + 200 * SECOND; at += servicesEveryS * SECOND) {
        scheduleShortUrgentService(simulation, at);
      }
    }
    simulation.users.submitJob(array("req-rest", 3).resources(2, 1, 0).build());
    assertRulesHold(simulation, afterBurst, afterBurst + 250 * SECOND);
    assertEquals("done", simulation.checker.reportedFinalState(LATE));
    assertEquals("done", simulation.checker.reportedFinalState("req-rest"));
  }

  private static void scheduleShortUrgentService(Simulation simulation, long at) {
    simulation.clock.at(
        at,
        () -> {
          String id = "req-short" + at / SECOND;
          simulation.users.submitJob(service(id).cpus(1).build());
          simulation.clock.in(5 * SECOND, () -> simulation.requests.cancelUntilConfirmed(id));
        });
  }

  private static List<String> submitUrgentServices(
      Simulation simulation, String prefix, int count) {
    List<String> urgent = IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
    urgent.forEach(
        id -> simulation.users.submitJob(service(id).priority(Priority.PRODUCTION).build()));
    return urgent;
  }

  /**
   * Guards against tasks that are never placed again on the machine where they were started
   * directly and stopped for urgent work.
   */
  @ParameterizedTest(name = "seed {0}, array of {1}")
  @CsvSource({"1, 14", "2, 14", "3, 14", "4, 14", "1, 1", "2, 1", "3, 1", "4, 1"})
  @DisplayName("Tasks that were stopped for urgent work return to their machine")
  void preemptedTasksReturn(long seed, int tasks) {
    Simulation simulation = clusterWithOneMachine(seed);
    simulation.users.submitJob(
        array(LATE, tasks).resources(14.0 / tasks, 1, 0).expectedMicros(15 * SECOND).build());
    simulation.runUntil(UP_AT + 5 * SECOND);
    assertEquals(tasks, simulation.checker.workersRunning(LATE).size());
    List<String> urgent = submitUrgentServices(simulation, "req-urgent", 3);
    simulation.runUntil(UP_AT + 12 * SECOND);
    urgent.forEach(id -> assertEquals(1, simulation.checker.workersRunning(id).size(), id));
    urgent.forEach(simulation.requests::cancelUntilConfirmed);
    simulation.runUntil(UP_AT + 18 * SECOND);
    assertTrue(simulation.checker.startsOf(LATE) >= tasks);
    assertRunsBesideTheService(simulation, UP_AT + 18 * SECOND, List.of(LATE));
  }

  /** Submits an array that fills a machine; half of these arrays are cancelled. */
  private static void scheduleArray(Simulation simulation, long at) {
    simulation.clock.at(
        at,
        () -> {
          String id = "req-array" + at / SECOND;
          simulation.users.submitJob(
              array(id, 7).resources(2, 2, 0).expectedMicros(20 * SECOND).build());
          if (simulation.random.nextBoolean()) {
            simulation.clock.in(
                8 * SECOND + simulation.random.nextLong(20 * SECOND),
                () -> simulation.requests.cancelUntilConfirmed(id));
          }
        });
  }

  /** Submits services for which tasks have to be stopped, and cancels them soon. */
  private static void scheduleShortUrgentServices(Simulation simulation, long at) {
    simulation.clock.at(
        at,
        () -> {
          List<String> urgent =
              submitUrgentServices(simulation, "req-urgent" + at / SECOND + "x", 6);
          simulation.clock.in(
              4 * SECOND, () -> urgent.forEach(simulation.requests::cancelUntilConfirmed));
        });
  }

  /**
   * Guards against late copies of a direct start that run a task a second time, after it was
   * stopped on the machine, placed there again or elsewhere, or cancelled. Fails if a task is
   * placed again as a new attempt where it was started directly.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  @DisplayName("Tasks that return to a machine run once, whichever commands arrive again")
  void returningTasksRunOnce(long seed) {
    Simulation simulation = new Simulation(seed);
    simulation.cloud.bootFailureTwelfths = 0;
    simulation.cloud.maxMachines = 2;
    simulation.staleMessages.commandCopyShare = 800;
    simulation.staleMessages.copiesPerCommand = 8;
    simulation.startWorkload(0, 600 * SECOND);
    simulation.users.submitJob(service(LIVE).build());
    simulation.runUntil(UP_AT);
    for (long at = UP_AT; at < UP_AT + 150 * SECOND; at += 15 * SECOND) {
      scheduleArray(simulation, at);
    }
    for (long at = UP_AT + 2 * SECOND; at < UP_AT + 150 * SECOND; at += 7 * SECOND) {
      scheduleShortUrgentServices(simulation, at);
    }
    simulation.clock.at(
        UP_AT + 75 * SECOND,
        () -> simulation.controllers.crash(simulation.controllers.leader(), 2 * SECOND));
    long faultsEndAt = UP_AT + 150 * SECOND;
    assertRulesHold(simulation, faultsEndAt, faultsEndAt + LONGEST_WAIT_AND_RUN);
    assertTrue(
        simulation.checker.taskStarts > 2 * simulation.checker.taskCompletions,
        "few tasks were started again: " + simulation.checker.taskStarts);
  }

  /**
   * Guards against a machine that failed tasks for a while, and is neither used again nor released
   * because a replica runs there.
   */
  @ParameterizedTest(name = "seed {0}, faulty for {1} s")
  @CsvSource({"1, 8", "2, 8", "3, 8", "4, 8", "1, 30", "2, 30", "3, 30", "1, 100", "2, 100"})
  @DisplayName("A machine that was faulty for a while is used again once it is well")
  void aMachineIsUsedAgainOnceItIsWell(long seed, int faultyS) {
    Simulation simulation = clusterWithOneMachine(seed);
    SimWorker worker = simulation.workers().get(0);
    worker.failsAllTasks = true;
    simulation.users.submitJob(array("req-early1", 1).build());
    simulation.users.submitJob(array("req-early2", 1).build());
    long wellAt = UP_AT + faultyS * SECOND;
    simulation.runUntil(wellAt);
    assertTrue(simulation.checker.startsOf("req-early1") > 0, "met no faulty machine");
    worker.failsAllTasks = false;
    simulation.users.submitJob(array(LATE, 1).build());
    assertRunsBesideTheService(simulation, wellAt, List.of("req-early1", "req-early2", LATE));
  }
}
