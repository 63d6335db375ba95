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
 * The combinations of two troubles in which schedulers broke rules. Each is brought about with
 * several seeds, from which the moments are drawn around the critical one. The rules are checked
 * after each step; after the troubles also that nobody is forgotten or left waiting.
 */
class FaultCombinationsTest {
  /** Three seeds of each combination; more with -Dsim.seeds, from -Dsim.from on. */
  static Stream<Arguments> combinations() {
    return CombinationRun.seedsOf(FaultCombination.all());
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("combinations")
  @DisplayName("The rules hold when two troubles meet, and nobody is forgotten or left waiting")
  void rulesHold(FaultCombination combination, long seed) {
    CombinationRun.assertRulesHold(combination, seed);
  }

  /**
   * Guards against a new leader that renews leases without knowing what its predecessor had
   * confirmed as cancelled: it won the key a moment before the state service went down for all, so
   * that its cluster state is not loaded, and the other nodes' grants let it answer reports all the
   * time.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2, 5, 6})
  @DisplayName("A leader that has not loaded the cluster state renews no lease through an outage")
  void leaderThatHasNotLoadedStateRenewsNoLease(long seed) {
    FaultScenario day = new FaultScenario(seed);
    Simulation simulation = day.simulation;
    String leader = simulation.controllers.leader();
    // Nobody may stand in for the leader there, so that cancellations are confirmed at once.
    List<String> away = day.controllersInOtherZone(leader);
    String zone = Simulation.zoneOf(away.get(0));
    away.forEach(node -> simulation.controllers.crash(node, 33 * SECOND));
    simulation.runUntil(day.timeAfter(32));
    assertEquals(leader, simulation.controllers.leader());
    List<String> jobs =
        simulation.users.longRunning().stream()
            .filter(
                id ->
                    simulation.checker.workersRunning(id).stream()
                        .allMatch(w -> w.zone.equals(zone)))
            .toList();
    jobs.forEach(
        id -> simulation.checker.workersRunning(id).forEach(worker -> worker.hang(5_500_000)));
    jobs.forEach(id -> simulation.requests.cancelOnce(id, leader));
    simulation.runUntil(day.timeAfter(0.6));
    assertTrue(
        simulation.checker.cancelledButRunning() > 0,
        "no cancellation of a hung task is confirmed");
    simulation.state.refuse(leader, day.timeAfter(70));
    simulation.state.onLeaderKey =
        name -> {
          simulation.state.onLeaderKey = next -> {};
          simulation.state.outage(45 * SECOND);
        };
    simulation.runUntil(day.timeAfter(10));
    assertTrue(day.leaderChanges() > 0, "nobody took over");
    simulation.runUntil(day.timeAfter(60));
    assertNoViolations(simulation);
  }

  /**
   * Guards against a lease counted without the incarnation that the answer to a direct command told
   * of: that one began without any answer of ours, and lasts for a lease of its own.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {3, 5, 11, 12})
  @DisplayName("A session that a direct answer tells of is given its whole lease")
  void incarnationKnownFromDirectResponseHasFullLease(long seed) {
    FaultScenario day = new FaultScenario(seed);
    Simulation simulation = day.simulation;
    // Most machines, so that they are waited for and not returned; the others have room.
    List<SimWorker> mute = simulation.workers();
    simulation.faults.refuseRequestsFrom(mute.subList(0, mute.size() - 2), day.timeAfter(25));
    // Their leases end within these two seconds, and some 0.3 s later the leader is sure of that.
    for (double at = 8.7; at < 10.4; at += 0.05) {
      day.after(at, () -> simulation.users.cancelNow(1, 0));
    }
    for (int i = 0; i < 8; i++) {
      day.after(
          day.randomBetween(8.5, 10.4), () -> simulation.users.submitLongJob(3, 100 * SECOND));
    }
    simulation.runUntil(day.timeAfter(40));
    assertNoViolations(simulation);
    assertTrue(simulation.leasesLost > 0, "every session went on");
  }
}
