package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the combinations of two faults that made schedulers violate rules. Each runs with several
 * seeds, which vary the times of the faults around the critical moment. The rules are checked after
 * each step; once the faults have ended, also that every job makes progress and every request is
 * answered.
 */
class FaultCombinationsTest {
  /** Returns each combination with three seeds; sim.seeds sets their number, sim.from the first. */
  static Stream<Arguments> combinations() {
    return CombinationRun.seedsOf(FaultCombination.all());
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("combinations")
  @DisplayName("The rules hold when two faults coincide, and no job or request is left waiting")
  void rulesHold(FaultCombination combination, long seed) {
    CombinationRun.assertRulesHold(combination, seed);
  }

  /**
   * Guards against a new leader that renews leases without knowing which cancellations its
   * predecessor had confirmed. It acquired the leader key just before an outage of the key-value
   * store, so it has not loaded the cluster state, while grants of the followers let it answer
   * heartbeats throughout.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2, 5, 6})
  @DisplayName("A leader that has not loaded the cluster state renews no lease through an outage")
  void leaderThatHasNotLoadedStateRenewsNoLease(long seed) {
    FaultScenario scenario = new FaultScenario(seed);
    Simulation simulation = scenario.simulation;
    String leader = simulation.controllers.leader();
    // No delegate may renew leases in that zone, so that cancellations are confirmed at once.
    List<String> stopped = scenario.controllersInOtherZone(leader);
    String zone = Simulation.zoneOf(stopped.get(0));
    stopped.forEach(controller -> simulation.controllers.crash(controller, 33 * SECOND));
    simulation.runUntil(scenario.timeAfter(32));
    assertEquals(leader, simulation.controllers.leader());
    List<String> jobs =
        simulation.users.longRunningJobs().stream()
            .filter(
                id ->
                    simulation.checker.workersRunning(id).stream()
                        .allMatch(w -> w.zone.equals(zone)))
            .toList();
    jobs.forEach(
        id -> simulation.checker.workersRunning(id).forEach(worker -> worker.hang(5_500_000)));
    jobs.forEach(id -> simulation.requests.cancelOnce(id, leader));
    simulation.runUntil(scenario.timeAfter(0.6));
    assertTrue(
        simulation.checker.cancelledButRunning() > 0,
        "no cancellation of a task on a hung worker was confirmed");
    simulation.store.refuse(leader, scenario.timeAfter(70));
    simulation.store.onLeaderKeyWritten =
        name -> {
          simulation.store.onLeaderKeyWritten = next -> {};
          simulation.store.outage(45 * SECOND);
        };
    simulation.runUntil(scenario.timeAfter(10));
    assertTrue(scenario.leaderChanges() > 0, "no other controller became leader");
    simulation.runUntil(scenario.timeAfter(60));
    assertNoViolations(simulation);
  }

  /**
   * Guards against a lease expiry that ignores an incarnation known only from the response to a
   * direct command: that incarnation began without any response of the leader and has a full lease
   * of its own.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {3, 5, 11, 12})
  @DisplayName("An incarnation known only from a direct command response has a full lease")
  void incarnationKnownFromDirectResponseHasFullLease(long seed) {
    FaultScenario scenario = new FaultScenario(seed);
    Simulation simulation = scenario.simulation;
    // Most machines, so that the leader waits for them and does not release them; the other two
    // have free capacity.
    List<SimWorker> workers = simulation.workers();
    simulation.faults.refuseRequestsFrom(
        workers.subList(0, workers.size() - 2), scenario.timeAfter(25));
    // Their leases expire within these two seconds; the leader treats them as expired about 0.3 s
    // later.
    for (double at = 8.7; at < 10.4; at += 0.05) {
      scenario.after(at, () -> simulation.users.cancelRunningJobs(1, 0));
    }
    for (int i = 0; i < 8; i++) {
      scenario.after(
          scenario.randomBetween(8.5, 10.4), () -> simulation.users.submitLongJob(3, 100 * SECOND));
    }
    simulation.runUntil(scenario.timeAfter(40));
    assertNoViolations(simulation);
    assertTrue(simulation.expiredWorkerLeases > 0, "no lease expired");
  }
}
