package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A whole fleet, or a large part of it, is lost or silent at once, beside other faults.
 *
 * <p>Jobs have to start again within a time that follows from the protocol alone: how soon silence
 * shows, one handover, the workers' leases, a rental and a boot, one machine that never comes up.
 */
class FleetLossTest {
  /** When the fleet is lost. */
  static final long LOSS_AT_MICROS = 60 * SECOND;

  /** Two heartbeats and a margin until silence shows, and two rounds. */
  static final long DETECTION_MICROS = 8 * SECOND;

  /** A new leader is elected and has loaded the cluster state. */
  static final long HANDOVER_MICROS = 4 * SECOND;

  /** The lease of 15.25 s with drift and margin, and the first answers of the other controllers. */
  private static final long LEASE_EXPIRY_MICROS = 18 * SECOND;

  /** A rental, the longest usual boot of a type that boots in 5 s, and two heartbeats. */
  private static final long SCALE_OUT_MICROS = 2 * SECOND + 8 * SECOND + 5 * SECOND;

  /** Twice the boot time and 10 s until a machine that does not come up is replaced. */
  private static final long BOOT_REPLACEMENT_MICROS = 20 * SECOND;

  static final long RECOVERY_BOUND_MICROS =
      DETECTION_MICROS
          + HANDOVER_MICROS
          + LEASE_EXPIRY_MICROS
          + SCALE_OUT_MICROS
          + BOOT_REPLACEMENT_MICROS;

  /** A lease, and as long as lost machines are kept: 75 s. */
  static final long LOST_MACHINE_RETENTION_MICROS = LEASE_EXPIRY_MICROS + 75 * SECOND;

  /** With the others out of reach two controllers lead for their turn before one leads on. */
  static final long TWO_SHORT_TERMS_MICROS = 2 * (HANDOVER_MICROS + 16 * SECOND);

  /** Fewer silent machines are no partition. */
  static final int MIN_MACHINES = 3;

  /** So many tasks show that work goes on; about one job of several tasks arrives each 3 s. */
  private static final int MIN_STARTED_TASKS = 10;

  private static Simulation busySimulation(long seed) {
    Simulation simulation = new Simulation(seed, 1, ClusterSize.LONG_CANCEL);
    simulation.cloud.listLagMicros = 3 * SECOND;
    simulation.startWorkload(400 * SECOND, 3 * SECOND);
    return simulation;
  }

  static Simulation busyUntil(long seed, long untilMicros) {
    Simulation simulation = busySimulation(seed);
    simulation.runUntil(untilMicros);
    return simulation;
  }

  private static Simulation busyUntilLoss(long seed) {
    Simulation simulation = busyUntil(seed, LOSS_AT_MICROS);
    int machines = simulation.workers().size();
    assertTrue(machines >= MIN_MACHINES, machines + " machines");
    return simulation;
  }

  private static void terminateAll(Simulation simulation) {
    terminate(simulation, simulation.workers());
  }

  private static void terminate(Simulation simulation, List<SimWorker> machines) {
    machines.forEach(worker -> simulation.cloud.terminate(worker.name));
  }

  private static void hangAll(Simulation simulation, long micros) {
    simulation.workers().forEach(worker -> worker.hang(micros));
  }

  private static void crashLeader(Simulation simulation) {
    simulation.controllers.crash(simulation.controllers.leader(), 8 * SECOND);
  }

  /** Some tasks start within the bound, and others in the 60 s after it. */
  static void assertTasksKeepStarting(Simulation simulation, long from, long boundMicros) {
    simulation.runUntil(from);
    int before = simulation.checker.started;
    simulation.runUntil(from + boundMicros);
    int withinBound = simulation.checker.started - before;
    simulation.runUntil(from + boundMicros + 60 * SECOND);
    int after = simulation.checker.started - before - withinBound;
    assertNoViolations(simulation);
    assertTrue(withinBound >= MIN_STARTED_TASKS, withinBound + " tasks started within the bound");
    assertTrue(after >= MIN_STARTED_TASKS, after + " tasks started in the 60 s after the bound");
  }

  /** What else happens at the loss, and for how long it holds everything up. */
  enum ConcurrentFault {
    NONE(0, simulation -> {}),
    LEADER_CRASHES(0, FleetLossTest::crashLeader),
    LEADERS_CHANGE(0, simulation -> simulation.faults.changeLeaders(12, 12 * SECOND)),
    CLOUD_DOWN(30 * SECOND, simulation -> simulation.cloud.outage(30 * SECOND)),
    STORE_DOWN(30 * SECOND, simulation -> simulation.state.outage(30 * SECOND)),
    NO_CAPACITY(
        30 * SECOND, simulation -> simulation.cloud.noCapacityUntil = LOSS_AT_MICROS + 30 * SECOND),
    PEERS_PARTITIONED(
        0,
        simulation ->
            Simulation.NODES.forEach(
                node ->
                    Simulation.NODES.stream()
                        .filter(other -> other.compareTo(node) > 0)
                        .forEach(
                            other ->
                                simulation.network.partition(
                                    node, other, LOSS_AT_MICROS + 100 * SECOND, false))));

    final long durationMicros;
    final Consumer<Simulation> inject;

    ConcurrentFault(long lasts, Consumer<Simulation> begin) {
      this.durationMicros = lasts;
      this.inject = begin;
    }
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @CsvSource({
    "NONE, 1", "NONE, 2", "NONE, 5",
    "LEADER_CRASHES, 1", "LEADER_CRASHES, 2", "LEADER_CRASHES, 5",
    "LEADERS_CHANGE, 1", "LEADERS_CHANGE, 2", "LEADERS_CHANGE, 5",
    "CLOUD_DOWN, 1", "CLOUD_DOWN, 2", "CLOUD_DOWN, 5",
    "STORE_DOWN, 1", "STORE_DOWN, 2", "STORE_DOWN, 5",
    "NO_CAPACITY, 1", "NO_CAPACITY, 2", "NO_CAPACITY, 5",
    "PEERS_PARTITIONED, 1", "PEERS_PARTITIONED, 2", "PEERS_PARTITIONED, 5"
  })
  @DisplayName("A fleet taken back as a whole is replaced in time")
  void reclaimedFleet(ConcurrentFault circumstance, long seed) {
    Simulation simulation = busyUntilLoss(seed);
    circumstance.inject.accept(simulation);
    terminateAll(simulation);
    assertTasksKeepStarting(
        simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS + circumstance.durationMicros);
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @CsvSource({
    "NONE, 1", "NONE, 2", "NONE, 5",
    "LEADER_CRASHES, 1", "LEADER_CRASHES, 2", "LEADER_CRASHES, 5",
    "PEERS_PARTITIONED, 1", "PEERS_PARTITIONED, 2", "PEERS_PARTITIONED, 5"
  })
  @DisplayName("A fleet that hangs and does not return is replaced in time")
  void permanentlyHungFleet(ConcurrentFault circumstance, long seed) {
    Simulation simulation = busyUntilLoss(seed);
    circumstance.inject.accept(simulation);
    hangAll(simulation, 600 * SECOND);
    long turns = circumstance == ConcurrentFault.PEERS_PARTITIONED ? TWO_SHORT_TERMS_MICROS : 0;
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS + turns);
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("A fleet whose machines stop as a whole is replaced in time")
  void stoppedFleet(long seed) {
    Simulation simulation = busyUntilLoss(seed);
    simulation.workers().forEach(worker -> simulation.cloud.stop(worker.name));
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS);
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("A fleet taken back twice in a row is replaced twice")
  void fleetReclaimedTwice(long seed) {
    Simulation simulation = busyUntilLoss(seed);
    terminateAll(simulation);
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS);
    terminateAll(simulation);
    assertTasksKeepStarting(simulation, simulation.clock.now(), RECOVERY_BOUND_MICROS);
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("One zone taken back as a whole holds up nobody")
  void reclaimedZone(long seed) {
    Simulation simulation = busyUntilLoss(seed);
    terminate(simulation, simulation.workers().stream().filter(w -> w.zone.equals("a")).toList());
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS);
  }

  /** The list shows that the machines are gone, and no release is confirmed. */
  @ParameterizedTest(name = "zone only: {0}, seed {1}")
  @CsvSource({
    "false, 1",
    "false, 2",
    "false, 5",
    "false, 7",
    "true, 1",
    "true, 2",
    "true, 5",
    "true, 7"
  })
  @DisplayName("What ran on machines that were taken back goes on though none can be returned")
  void releasesAreNotConfirmed(boolean zoneOnly, long seed) {
    Simulation simulation = busyUntilLoss(seed);
    simulation.cloud.noReturnsUntil = LOSS_AT_MICROS + 200 * SECOND;
    List<SimWorker> lost =
        simulation.workers().stream()
            .filter(worker -> !zoneOnly || worker.zone.equals("a"))
            .toList();
    List<String> interrupted =
        lost.stream()
            .flatMap(worker -> worker.running().stream())
            .map(task -> task.substring(0, task.indexOf('/')))
            .distinct()
            .toList();
    Map<String, Integer> startsBefore = new HashMap<>();
    interrupted.forEach(id -> startsBefore.put(id, simulation.checker.startsOf(id)));
    terminate(simulation, lost);
    simulation.runUntil(LOSS_AT_MICROS + RECOVERY_BOUND_MICROS + 20 * SECOND);
    assertNoViolations(simulation);
    List<String> resting =
        simulation.users.openJobs().stream()
            .filter(startsBefore::containsKey)
            .filter(id -> simulation.checker.startsOf(id) <= startsBefore.get(id))
            .toList();
    assertEquals(List.of(), resting, "jobs that did not go on");
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("All spot machines taken back at once hold up nobody")
  void reclaimedSpotMachines(long seed) {
    Simulation simulation = busyUntilLoss(seed);
    terminate(simulation, simulation.workers().stream().filter(w -> w.spot).toList());
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS);
  }

  @ParameterizedTest(name = "seed {0}, for {1} s")
  @CsvSource({"1, 10", "2, 10", "5, 10", "1, 40", "2, 40", "5, 40"})
  @DisplayName("A fleet that hangs and returns is used again")
  void temporarilyHungFleet(long seed, long seconds) {
    Simulation simulation = busyUntilLoss(seed);
    List<String> fleet = simulation.workers().stream().map(worker -> worker.name).toList();
    hangAll(simulation, seconds * SECOND);
    int leasesLost = simulation.leasesLost;
    simulation.runUntil(LOSS_AT_MICROS + seconds * SECOND);
    // Idle ones may be returned from then on.
    assertTrue(
        simulation.workers().stream().map(worker -> worker.name).toList().containsAll(fleet),
        "machines that hung were released");
    simulation.runUntil(LOSS_AT_MICROS + seconds * SECOND + 8 * SECOND);
    // Its last answered heartbeat was sent up to 3.2 s before, and the next one is sent on to a new
    // leader after up to 0.5 s.
    if (seconds * SECOND < simulation.settings.workers().leaseMicros() - 4 * SECOND) {
      assertEquals(leasesLost, simulation.leasesLost, "answered in time");
    }
    assertTasksKeepStarting(simulation, simulation.clock.now(), RECOVERY_BOUND_MICROS);
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("Heartbeats of machines that are gone, held up on their way, bring nothing back")
  void lateHeartbeatsOfGoneMachines(long seed) {
    Simulation simulation = busySimulation(seed);
    simulation.staleMessages.lateCopies = 300;
    simulation.staleMessages.replayHeartbeatsToNextLeader(1000, LOSS_AT_MICROS);
    simulation.runUntil(LOSS_AT_MICROS);
    crashLeader(simulation);
    terminateAll(simulation);
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS);
    assertTrue(simulation.staleMessages.replayedHeartbeats > 0, "no heartbeat came late");
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("Machines that run tasks and are not listed yet are kept by a new leader")
  void unlistedMachinesAreKept(long seed) {
    Simulation simulation = new Simulation(seed, 1, ClusterSize.LONG_CANCEL);
    simulation.cloud.listLagMicros = 3 * SECOND;
    simulation.cloud.upAtOnce = true;
    simulation.startWorkload(120 * SECOND, SECOND);
    while (simulation.workers().stream().allMatch(worker -> worker.running().isEmpty())) {
      simulation.runUntil(simulation.clock.now() + SECOND / 10);
      assertTrue(simulation.clock.now() < LOSS_AT_MICROS, "nothing runs");
    }
    List<SimWorker> fleet = simulation.workers();
    simulation.controllers.crash(simulation.controllers.leader(), 8 * SECOND);
    simulation.runUntil(simulation.clock.now() + 15 * SECOND);
    fleet.forEach(worker -> assertTrue(!worker.dead, worker.name + " was released"));
    simulation.runUntil(300 * SECOND);
    assertNoViolations(simulation);
  }

  /**
   * Machines that hang are listed as before, and each leader ends before their leases are over by
   * its own count.
   */
  @ParameterizedTest(name = "zone only: {0}, seed {1}")
  @CsvSource({"false, 1", "false, 2", "false, 5", "true, 1", "true, 2", "true, 5"})
  @DisplayName("Machines that hang for good are replaced in time also while leaders change")
  void hungMachinesDuringLeaderChanges(boolean zoneOnly, long seed) {
    Simulation simulation = busyUntilLoss(seed);
    simulation.workers().stream()
        .filter(worker -> !zoneOnly || worker.zone.equals("a"))
        .forEach(worker -> worker.hang(600 * SECOND));
    simulation.faults.changeLeaders(28, 12 * SECOND);
    simulation.runUntil(LOSS_AT_MICROS + SECOND);
    int rented = simulation.cloud.rented;
    simulation.runUntil(LOSS_AT_MICROS + LOST_MACHINE_RETENTION_MICROS + RECOVERY_BOUND_MICROS);
    int replaced = simulation.cloud.rented - rented;
    assertTrue(replaced > 0, "nothing was rented in the time");
    assertTasksKeepStarting(simulation, simulation.clock.now(), RECOVERY_BOUND_MICROS);
  }
}
