package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertNoViolations;
import static org.dewreach.sim.SimulationFixture.assertRulesHold;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.dewreach.wire.JobKind;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * A fleet of 1,600 machines; the rules are checked after each step. Load is bounded by request and
 * record counts, not by wall-clock time, so that the result does not depend on the machine that
 * runs the test.
 */
class FleetTest {
  /** An initial burst of services and arrays within 5 s, then one job per second until the end. */
  private static Simulation loadedFleet(long seed, long untilMicros) {
    Simulation simulation = new Simulation(seed, 1, ClusterSize.FLEET);
    simulation.cloud.startFullCapacity();
    for (int i = 0; i < 400; i++) {
      simulation.clock.at(
          simulation.random.nextInt(5_000_000),
          () ->
              simulation.users.submitFleetJob(
                  true, 1, 30 * SECOND + simulation.random.nextInt(120_000_000)));
    }
    for (int i = 0; i < 40; i++) {
      simulation.clock.at(
          simulation.random.nextInt(5_000_000),
          () ->
              simulation.users.submitFleetJob(
                  false, 20 + simulation.random.nextInt(80), 20 * SECOND));
    }
    for (long at = 6 * SECOND; at < untilMicros; at += SECOND) {
      boolean service = at / SECOND % 2 == 0;
      simulation.clock.at(
          at,
          () ->
              simulation.users.submitFleetJob(
                  service, service ? 1 : 30, service ? 60 * SECOND : 10 * SECOND));
    }
    simulation.startWorkload(0, SECOND);
    return simulation;
  }

  private static int maxCount(Map<Long, Integer> counts) {
    return counts.values().stream().max(Integer::compare).orElse(0);
  }

  @Test
  @DisplayName("All controllers restart at once, then a zone is partitioned and the leader crashes")
  void restartOfAllControllersThenZonePartition() {
    Simulation simulation = loadedFleet(1, 110 * SECOND);
    simulation.runUntil(40 * SECOND);
    assertNoViolations(simulation);
    long services = runningTasks(simulation, JobKind.SERVICE);
    assertTrue(services > 300, "running services: " + services);
    int readBefore = simulation.store.recordsRead;
    int requestsBefore =
        simulation.store.requestsPerSecond.values().stream().mapToInt(i -> i).sum();
    Simulation.CONTROLLERS.forEach(
        n -> simulation.controllers.crash(n, 2 * SECOND + simulation.random.nextInt(2_000_000)));
    simulation.runUntil(60 * SECOND);
    assertEquals(0, simulation.expiredWorkerLeases, "leases that expired during the restart");
    int records = simulation.store.recordsRead - readBefore;
    // One leader reads each live job once, and the pages of the machine records.
    assertTrue(records <= 2 * 700, "records read by the next leader: " + records);
    int requests =
        simulation.store.requestsPerSecond.values().stream().mapToInt(i -> i).sum()
            - requestsBefore;
    assertTrue(
        requests < 20 * simulation.size.storeRps(),
        "requests to the key-value store in 20 s: " + requests);
    // Partitions a third of the machines from all controllers; then the leader crashes.
    long until = 100 * SECOND;
    for (SimWorker worker : simulation.workers()) {
      if (worker.zone.equals("b")) {
        for (String controller : Simulation.CONTROLLERS) {
          simulation.network.partition(worker.name, controller, until, true);
        }
      }
    }
    simulation.runUntil(66 * SECOND);
    simulation.controllers.crash(simulation.controllers.leader(), 5 * SECOND);
    simulation.runUntil(100 * SECOND);
    int releasedDuringPartition = simulation.cloud.releasedMachines;
    assertRulesHold(simulation, 100 * SECOND, 240 * SECOND);
    assertTrue(
        releasedDuringPartition < 800,
        "machines released while the zone was partitioned: " + releasedDuringPartition);
    List<String> open = simulation.users.openJobs();
    assertEquals(List.of(), open, "jobs without a final state");
    assertTrue(
        maxCount(simulation.store.requestsPerSecond) <= 1.5 * simulation.size.storeRps(),
        "requests to the key-value store in one second: "
            + maxCount(simulation.store.requestsPerSecond));
    assertEquals(
        0,
        simulation.store.rateLimitedRequests,
        "requests that the key-value store rejected with status 429");
  }

  /**
   * Guards against a leader that is the only controller outside a partitioned zone and steps down
   * before the workers have reached it.
   */
  @Test
  @DisplayName(
      "A leader outside a partitioned zone waits until workers have tried the controllers inside")
  void leaderOutsidePartitionedZone() {
    for (long seed : new long[] {3, 5}) {
      ClusterSize size = new ClusterSize(2.5, 15.25, 40.25, 20_000, 900, 150, 12, 10, 1_000, 500);
      Simulation simulation = new Simulation(seed, 1, size);
      simulation.cloud.startFullCapacity();
      for (int i = 0; i < 40; i++) {
        simulation.clock.at(
            simulation.random.nextInt(5_000_000),
            () -> simulation.users.submitFleetJob(true, 1, 300 * SECOND));
      }
      simulation.startWorkload(0, SECOND);
      simulation.runUntil(40 * SECOND);
      // Makes a controller inside zone a the leader; n2 remains the only controller outside.
      if (simulation.controllers.leader().equals("n2")) {
        simulation.controllers.crash("n2", SECOND);
        simulation.runUntil(50 * SECOND);
      }
      assertEquals("a", Simulation.zoneOf(simulation.controllers.leader()));
      long at = simulation.clock.now();
      simulation.faults.partitionZone("a", at + 40 * SECOND, true);
      simulation.runUntil(at + 25 * SECOND);
      assertEquals("n2", simulation.controllers.leader(), "seed " + seed);
      assertEquals(0, simulation.expiredWorkerLeases, "seed " + seed);
      assertNoViolations(simulation);
    }
  }

  private static long runningTasks(Simulation simulation, JobKind jobKind) {
    return simulation.workers().stream()
        .flatMap(worker -> worker.runningTasks().stream())
        .filter(
            name ->
                simulation.users.spec(name.substring(0, name.indexOf('/'))).jobKind() == jobKind)
        .count();
  }
}
