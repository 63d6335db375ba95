package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertAllJobsEnded;
import static org.dewreach.sim.SimulationFixture.assertFailover;
import static org.dewreach.sim.SimulationFixture.assertRulesHold;
import static org.dewreach.sim.SimulationFixture.busyCluster;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Leaders, workers and whole zones cut off from each other; each case is seeded. */
class NetworkPartitionTest {
  /** Guards against a leader that holds its key and hears no worker until all leases are over. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  @DisplayName("A leader that lost its workers gives the lead to another")
  void leaderWithoutWorkers(long seed) {
    Simulation simulation = busyCluster(seed, 150 * SECOND, 3 * SECOND, 60 * SECOND);
    String leader = simulation.controllers.leader();
    simulation
        .workers()
        .forEach(each -> simulation.network.partition(leader, each.name, 100 * SECOND, false));
    simulation.runUntil(70 * SECOND);
    assertFailover(simulation, leader);
    simulation.runUntil(99 * SECOND);
    assertTrue(
        simulation.leasesLost <= simulation.workers().size() / 2,
        "leases lost: " + simulation.leasesLost);
    assertRulesHold(simulation, 100 * SECOND, 320 * SECOND);
  }

  /** Guards against workers that stay with a leader which can act no more. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  @DisplayName("A leader without the state service and the others sends its workers on")
  void isolatedLeaderWithWorkers(long seed) {
    Simulation simulation = busyCluster(seed, 150 * SECOND, 3 * SECOND, 60 * SECOND);
    String leader = simulation.controllers.leader();
    simulation.network.partition(leader, "state", 95 * SECOND, seed % 2 == 0);
    Simulation.NODES.forEach(
        n -> simulation.network.partition(leader, n, 95 * SECOND, seed % 2 == 0));
    simulation.runUntil(64 * SECOND);
    assertFailover(simulation, leader);
    simulation.runUntil(94 * SECOND);
    assertEquals(0, simulation.leasesLost, "workers live on under the next leader");
    assertRulesHold(simulation, 95 * SECOND, 320 * SECOND);
  }

  /** Guards against renting a whole zone anew that is back a moment later. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  @DisplayName("When many machines are cut off at once, they are waited for and used again")
  void partitionedMachinesAreKept(long seed) {
    Simulation simulation = busyCluster(seed, 150 * SECOND, 1_500_000, 60 * SECOND);
    List<SimWorker> zone = simulation.workers().subList(0, simulation.workers().size() / 2 + 1);
    assertTrue(zone.size() >= 3, "few machines there: " + zone.size());
    simulation.faults.partitionWorkers(zone, 95 * SECOND);
    // Those without work may be returned as idle.
    List<SimWorker> busy = zone.stream().filter(w -> !w.running().isEmpty()).toList();
    simulation.runUntil(110 * SECOND);
    long there = busy.stream().filter(simulation.workers()::contains).count();
    assertTrue(4 * there >= 3 * busy.size(), there + " of " + busy.size() + " are left");
    assertRulesHold(simulation, 95 * SECOND, 320 * SECOND);
  }

  /** Guards against a zone's tasks that die with their leases while its controller runs on. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  @DisplayName("Tasks of a cut-off zone with a controller inside run on for as long as they may")
  void partitionedZoneKeepsItsTasks(long seed) {
    String zone = "a";
    Simulation simulation = busyCluster(seed, 150 * SECOND, 1_500_000, 60 * SECOND);
    // Longer than a lease and shorter than what a job cancelled meanwhile is given.
    List<SimWorker> busy =
        simulation.workers().stream()
            .filter(w -> w.zone.equals(zone) && !w.running().isEmpty())
            .toList();
    simulation.faults.partitionZone(zone, 85 * SECOND, seed % 2 == 0);
    simulation.runUntil(84 * SECOND);
    long kept = busy.stream().filter(w -> !w.dead && w.leasesLost == 0).count();
    assertTrue(busy.size() >= 3, "few machines were busy there: " + busy.size());
    assertTrue(4 * kept >= 3 * busy.size(), kept + " of " + busy.size() + " kept their tasks");
    assertRulesHold(simulation, 85 * SECOND, 320 * SECOND);
    assertAllJobsEnded(simulation);
  }

  /**
   * Guards against leases counted without what a leader answered as a delegate, when its term goes
   * on after an outage; seed 1005 of the drawn days.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  @DisplayName("A term that goes on after an outage counts what its node answered as a delegate")
  void termResumesAfterDelegatedRenewals(long seed) {
    Simulation simulation = busyCluster(seed, 150 * SECOND, 1_500_000, 60 * SECOND);
    String leader = simulation.controllers.leader();
    simulation.state.outage(35 * SECOND);
    Simulation.NODES.forEach(n -> simulation.network.partition(leader, n, 90 * SECOND, false));
    // The workers that stood by it fall silent when it acts again.
    simulation.clock.at(
        90 * SECOND,
        () ->
            simulation.workers().stream()
                .filter(w -> w.zone.equals(Simulation.zoneOf(leader)))
                .forEach(w -> simulation.network.cut(w.name, leader, 107 * SECOND, false)));
    assertRulesHold(simulation, 110 * SECOND, 320 * SECOND);
  }

  /** Guards against jobs that run on in a cut-off zone after they were cancelled outside. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  @DisplayName("What is cancelled while a zone is cut off for long is gone in time")
  void cancelledDuringZonePartition(long seed) {
    Simulation simulation = busyCluster(seed, 150 * SECOND, 1_500_000, 60 * SECOND);
    simulation.faults.partitionZone("b", 130 * SECOND, seed % 2 == 0);
    String outside = seed % 3 == 0 ? "n1" : "n0";
    simulation.clock.at(
        64 * SECOND,
        () ->
            simulation.users.ids().stream()
                .filter(id -> simulation.checker.reportedFinalState(id) == null)
                .forEach(id -> simulation.requests.cancelOnce(id, outside)));
    // The leader outside, or a second one, ends meanwhile.
    simulation.clock.at(
        70 * SECOND,
        () -> simulation.controllers.crash(Simulation.NODES.get((int) seed % 2), 8 * SECOND));
    assertRulesHold(simulation, 130 * SECOND, 320 * SECOND);
  }
}
