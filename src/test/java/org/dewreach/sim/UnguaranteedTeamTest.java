package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A team without a guarantee and without a quota, beside teams that have both. */
class UnguaranteedTeamTest {
  private static final ClusterSize CLUSTER_SIZE =
      new ClusterSize(2.5, 16, 36, 200, 200, 50, 2, 8, 1_000, 500);

  private static JobSpec guestArray(String id, int tasks, double cpus, long runs) {
    return OperationalFaultsTest.job(id, "guest", JobKind.ARRAY, Priority.LOW, tasks, cpus, runs);
  }

  private static Simulation loadedCluster(long seed, long untilMicros) {
    Simulation simulation = new Simulation(seed, 1, CLUSTER_SIZE);
    simulation.cloud.startFullCapacity();
    for (long at = SECOND; at < untilMicros; at += 2 * SECOND) {
      simulation.clock.at(at, () -> simulation.users.submitFleetJob(true, 1, 60 * SECOND));
      simulation.clock.at(at, () -> simulation.users.submitFleetJob(false, 4, 8 * SECOND));
    }
    simulation.startWorkload(0, SECOND);
    return simulation;
  }

  private static List<String> jobIds(Simulation simulation, boolean unguaranteed) {
    return simulation.users.ids().stream()
        .filter(id -> simulation.users.spec(id).team().equals("guest") == unguaranteed)
        .toList();
  }

  private static void assertGuaranteedTeamsServed(Simulation simulation, long untilMicros) {
    List<String> guaranteed =
        jobIds(simulation, false).stream()
            .filter(id -> simulation.checker.acceptedAt(id) < untilMicros - 20 * SECOND)
            .toList();
    long late =
        guaranteed.stream().filter(id -> simulation.checker.waitingMicros(id) > 8 * SECOND).count();
    assertTrue(
        late * 20 <= guaranteed.size(),
        late + " of " + guaranteed.size() + " jobs waited for more than 8 s");
  }

  private static void assertNoViolationsOrRateLimiting(Simulation simulation) {
    assertNoViolations(simulation);
    assertEquals(
        0,
        simulation.store.rateLimitedRequests,
        "requests that the key-value store rejected with status 429");
  }

  /**
   * Guards against a write for each progress change. Without {@code
   * JobRecordWriter.PROGRESS_INTERVAL_MICROS} there were 1,653 and 1,784 state changes per minute.
   */
  @ParameterizedTest(name = "{0} tasks")
  @ValueSource(ints = {25_000, 100_000})
  @DisplayName(
      "A huge array without a guarantee runs beside guaranteed jobs, with few state changes")
  void hugeArray(int tasks) {
    long until = tasks / 100 * SECOND / 2 + 60 * SECOND;
    Simulation simulation = loadedCluster(1, until);
    simulation.runUntil(40 * SECOND);
    simulation.users.submitJob(guestArray("req-huge", tasks, 0.25, 4 * SECOND));
    int changesBefore = changes(simulation);
    simulation.runUntil(until);
    int perMinute =
        (int) ((changes(simulation) - changesBefore) * 60 * SECOND / (until - 40 * SECOND));
    assertTrue(perMinute <= 600, "state changes per minute: " + perMinute);
    assertEquals("done", simulation.checker.reportedFinalState("req-huge"));
    assertNoViolationsOrRateLimiting(simulation);
    assertGuaranteedTeamsServed(simulation, until);
  }

  private static int changes(Simulation simulation) {
    return simulation.store.mutationsPerSecond.values().stream().mapToInt(i -> i).sum();
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  @DisplayName(
      "Of hundreds of one-task jobs per minute at least half complete; other teams are not delayed")
  void manyOneTaskJobs(long seed) {
    Simulation simulation = loadedCluster(seed, 200 * SECOND);
    for (int i = 0; i < 900; i++) {
      String id = "req-tiny" + i;
      simulation.clock.at(
          20 * SECOND + i * 200_000L,
          () -> simulation.users.submitJob(guestArray(id, 1, 0.5, 3 * SECOND)));
    }
    simulation.runUntil(230 * SECOND);
    List<String> unguaranteed = jobIds(simulation, true);
    long done =
        unguaranteed.stream()
            .filter(id -> "done".equals(simulation.checker.reportedFinalState(id)))
            .count();
    assertTrue(done * 2 >= unguaranteed.size(), done + " of " + unguaranteed.size() + " done");
    assertNoViolationsOrRateLimiting(simulation);
    assertGuaranteedTeamsServed(simulation, 200 * SECOND);
  }
}
