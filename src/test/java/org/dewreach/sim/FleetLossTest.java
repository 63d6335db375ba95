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
 * A whole fleet, or a large part of it, is lost or stops sending heartbeats at once, alone or
 * together with other faults.
 *
 * <p>Tasks have to start again within a time that follows from the protocol alone: the detection of
 * missing heartbeats, one handover, the expiry of the workers' leases, a rental and a boot, and the
 * replacement of one machine that never completes its boot.
 */
class FleetLossTest {
  /** The time at which the fleet is lost. */
  static final long LOSS_AT_MICROS = 60 * SECOND;

  /** Two missed heartbeats with a margin, and two rounds of the fleet manager. */
  static final long DETECTION_MICROS = 8 * SECOND;

  /** The time until a new leader is elected and has loaded the cluster state. */
  static final long HANDOVER_MICROS = 4 * SECOND;

  /**
   * The lease of 15.25 s with clock drift and margin, and the first responses of the other
   * controllers.
   */
  private static final long LEASE_EXPIRY_MICROS = 18 * SECOND;

  /** A rental, the longest usual boot of a type that boots in 5 s, and two heartbeats. */
  private static final long SCALE_OUT_MICROS = 2 * SECOND + 8 * SECOND + 5 * SECOND;

  /** Twice the boot time plus 10 s, after which a machine that has not booted is replaced. */
  private static final long BOOT_REPLACEMENT_MICROS = 20 * SECOND;

  static final long RECOVERY_BOUND_MICROS =
      DETECTION_MICROS
          + HANDOVER_MICROS
          + LEASE_EXPIRY_MICROS
          + SCALE_OUT_MICROS
          + BOOT_REPLACEMENT_MICROS;

  /** A lease, and the 75 s for which lost machines are kept across terms. */
  static final long LOST_MACHINE_RETENTION_MICROS = LEASE_EXPIRY_MICROS + 75 * SECOND;

  /**
   * The time of two handovers: when the controllers cannot reach each other, two of them lead for a
   * short term each before the next one keeps the lead.
   */
  static final long TWO_SHORT_TERMS_MICROS = 2 * (HANDOVER_MICROS + 16 * SECOND);

  /** With fewer silent machines the leader does not suspect a partition. */
  static final int MIN_MACHINES = 3;

  /** The number of started tasks that shows progress; a job of several tasks arrives each 3 s. */
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

  /** Asserts that tasks start within the bound and also in the 60 s after it. */
  static void assertTasksKeepStarting(Simulation simulation, long from, long boundMicros) {
    simulation.runUntil(from);
    int before = simulation.checker.taskStarts;
    simulation.runUntil(from + boundMicros);
    int withinBound = simulation.checker.taskStarts - before;
    simulation.runUntil(from + boundMicros + 60 * SECOND);
    int after = simulation.checker.taskStarts - before - withinBound;
    assertNoViolations(simulation);
    assertTrue(withinBound >= MIN_STARTED_TASKS, withinBound + " tasks started within the bound");
    assertTrue(after >= MIN_STARTED_TASKS, after + " tasks started in the 60 s after the bound");
  }

  /** A fault that occurs together with the loss, and for how long it blocks all progress. */
  enum ConcurrentFault {
    NONE(0, simulation -> {}),
    LEADER_CRASHES(0, FleetLossTest::crashLeader),
    LEADERS_CHANGE(0, simulation -> simulation.faults.forceLeaderChanges(12, 12 * SECOND)),
    CLOUD_DOWN(30 * SECOND, simulation -> simulation.cloud.outage(30 * SECOND)),
    STORE_DOWN(30 * SECOND, simulation -> simulation.store.outage(30 * SECOND)),
    NO_CAPACITY(
        30 * SECOND, simulation -> simulation.cloud.noCapacityUntil = LOSS_AT_MICROS + 30 * SECOND),
    PEERS_PARTITIONED(
        0,
        simulation ->
            Simulation.CONTROLLERS.forEach(
                controller ->
                    Simulation.CONTROLLERS.stream()
                        .filter(other -> other.compareTo(controller) > 0)
                        .forEach(
                            other ->
                                simulation.network.partition(
                                    controller, other, LOSS_AT_MICROS + 100 * SECOND, false))));

    final long durationMicros;
    final Consumer<Simulation> inject;

    ConcurrentFault(long durationMicros, Consumer<Simulation> inject) {
      this.durationMicros = durationMicros;
      this.inject = inject;
    }
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @CsvSource({
    "NONE, 1",
    "NONE, 2",
    "NONE, 5",
    "LEADER_CRASHES, 1",
    "LEADER_CRASHES, 2",
    "LEADER_CRASHES, 5",
    "LEADERS_CHANGE, 1",
    "LEADERS_CHANGE, 2",
    "LEADERS_CHANGE, 5",
    "CLOUD_DOWN, 1",
    "CLOUD_DOWN, 2",
    "CLOUD_DOWN, 5",
    "STORE_DOWN, 1",
    "STORE_DOWN, 2",
    "STORE_DOWN, 5",
    "NO_CAPACITY, 1",
    "NO_CAPACITY, 2",
    "NO_CAPACITY, 5",
    "PEERS_PARTITIONED, 1",
    "PEERS_PARTITIONED, 2",
    "PEERS_PARTITIONED, 5"
  })
  @DisplayName("A fleet that is reclaimed as a whole is replaced in time")
  void reclaimedFleet(ConcurrentFault fault, long seed) {
    Simulation simulation = busyUntilLoss(seed);
    fault.inject.accept(simulation);
    terminateAll(simulation);
    assertTasksKeepStarting(
        simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS + fault.durationMicros);
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @CsvSource({
    "NONE, 1",
    "NONE, 2",
    "NONE, 5",
    "LEADER_CRASHES, 1",
    "LEADER_CRASHES, 2",
    "LEADER_CRASHES, 5",
    "PEERS_PARTITIONED, 1",
    "PEERS_PARTITIONED, 2",
    "PEERS_PARTITIONED, 5"
  })
  @DisplayName("A fleet that hangs for good is replaced in time")
  void permanentlyHungFleet(ConcurrentFault fault, long seed) {
    Simulation simulation = busyUntilLoss(seed);
    fault.inject.accept(simulation);
    hangAll(simulation, 600 * SECOND);
    long repeatedHandovers =
        fault == ConcurrentFault.PEERS_PARTITIONED ? TWO_SHORT_TERMS_MICROS : 0;
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS + repeatedHandovers);
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("A fleet whose machines all stop is replaced in time")
  void stoppedFleet(long seed) {
    Simulation simulation = busyUntilLoss(seed);
    simulation.workers().forEach(worker -> simulation.cloud.failMachine(worker.name));
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS);
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("A fleet that is reclaimed twice in a row is replaced twice")
  void fleetReclaimedTwice(long seed) {
    Simulation simulation = busyUntilLoss(seed);
    terminateAll(simulation);
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS);
    terminateAll(simulation);
    assertTasksKeepStarting(simulation, simulation.clock.now(), RECOVERY_BOUND_MICROS);
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("Reclaiming all machines of one zone does not delay new tasks")
  void reclaimedZone(long seed) {
    Simulation simulation = busyUntilLoss(seed);
    terminate(simulation, simulation.workers().stream().filter(w -> w.zone.equals("a")).toList());
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS);
  }

  /** The cloud no longer lists the machines, and confirms no release. */
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
  @DisplayName("Jobs of reclaimed machines continue although no release is confirmed")
  void releasesAreNotConfirmed(boolean zoneOnly, long seed) {
    Simulation simulation = busyUntilLoss(seed);
    simulation.cloud.releasesFailUntil = LOSS_AT_MICROS + 200 * SECOND;
    List<SimWorker> lost =
        simulation.workers().stream()
            .filter(worker -> !zoneOnly || worker.zone.equals("a"))
            .toList();
    List<String> interrupted =
        lost.stream()
            .flatMap(worker -> worker.runningTasks().stream())
            .map(task -> task.substring(0, task.indexOf('/')))
            .distinct()
            .toList();
    Map<String, Integer> startsBefore = new HashMap<>();
    interrupted.forEach(id -> startsBefore.put(id, simulation.checker.startsOf(id)));
    terminate(simulation, lost);
    simulation.runUntil(LOSS_AT_MICROS + RECOVERY_BOUND_MICROS + 20 * SECOND);
    assertNoViolations(simulation);
    List<String> stalled =
        simulation.users.openJobs().stream()
            .filter(startsBefore::containsKey)
            .filter(id -> simulation.checker.startsOf(id) <= startsBefore.get(id))
            .toList();
    assertEquals(List.of(), stalled, "jobs that did not continue");
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("Reclaiming all spot machines at once does not delay new tasks")
  void reclaimedSpotMachines(long seed) {
    Simulation simulation = busyUntilLoss(seed);
    terminate(simulation, simulation.workers().stream().filter(w -> w.spot).toList());
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS);
  }

  @ParameterizedTest(name = "seed {0}, for {1} s")
  @CsvSource({"1, 10", "2, 10", "5, 10", "1, 40", "2, 40", "5, 40"})
  @DisplayName("A fleet that hangs for a while is used again")
  void temporarilyHungFleet(long seed, long seconds) {
    Simulation simulation = busyUntilLoss(seed);
    List<String> fleet = simulation.workers().stream().map(worker -> worker.name).toList();
    hangAll(simulation, seconds * SECOND);
    int leasesLost = simulation.expiredWorkerLeases;
    simulation.runUntil(LOSS_AT_MICROS + seconds * SECOND);
    // Idle machines may be released after this time.
    assertTrue(
        simulation.workers().stream().map(worker -> worker.name).toList().containsAll(fleet),
        "machines that hung were released");
    simulation.runUntil(LOSS_AT_MICROS + seconds * SECOND + 8 * SECOND);
    // The last heartbeat that got a response was sent up to 3.2 s before the machine hung, and the
    // next one reaches a new leader after up to 0.5 s.
    if (seconds * SECOND < simulation.settings.workers().leaseMicros() - 4 * SECOND) {
      assertEquals(
          leasesLost,
          simulation.expiredWorkerLeases,
          "leases lost although the machines hung for less than a lease");
    }
    assertTasksKeepStarting(simulation, simulation.clock.now(), RECOVERY_BOUND_MICROS);
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("Delayed heartbeats of machines that are gone do not restore them")
  void lateHeartbeatsOfGoneMachines(long seed) {
    Simulation simulation = busySimulation(seed);
    simulation.staleMessages.lateCopyShare = 300;
    simulation.staleMessages.replayHeartbeatsToNextLeader(1000, LOSS_AT_MICROS);
    simulation.runUntil(LOSS_AT_MICROS);
    crashLeader(simulation);
    terminateAll(simulation);
    assertTasksKeepStarting(simulation, LOSS_AT_MICROS, RECOVERY_BOUND_MICROS);
    assertTrue(simulation.staleMessages.replayedHeartbeats > 0, "no heartbeat was delivered late");
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 5})
  @DisplayName("A new leader keeps machines that run tasks and are not listed yet")
  void unlistedMachines(long seed) {
    Simulation simulation = new Simulation(seed, 1, ClusterSize.LONG_CANCEL);
    simulation.cloud.listLagMicros = 3 * SECOND;
    simulation.cloud.fastBoot = true;
    simulation.startWorkload(120 * SECOND, SECOND);
    while (simulation.workers().stream().allMatch(worker -> worker.runningTasks().isEmpty())) {
      simulation.runUntil(simulation.clock.now() + SECOND / 10);
      assertTrue(simulation.clock.now() < LOSS_AT_MICROS, "no task runs");
    }
    List<SimWorker> fleet = simulation.workers();
    simulation.controllers.crash(simulation.controllers.leader(), 8 * SECOND);
    simulation.runUntil(simulation.clock.now() + 15 * SECOND);
    fleet.forEach(worker -> assertTrue(!worker.stopped, worker.name + " was released"));
    simulation.runUntil(300 * SECOND);
    assertNoViolations(simulation);
  }

  /**
   * The cloud still lists the hung machines, and each term ends before their leases, counted from
   * the start of that term, have expired.
   */
  @ParameterizedTest(name = "zone only: {0}, seed {1}")
  @CsvSource({"false, 1", "false, 2", "false, 5", "true, 1", "true, 2", "true, 5"})
  @DisplayName("Machines that hang for good are replaced in time while leaders change")
  void hungMachinesDuringLeaderChanges(boolean zoneOnly, long seed) {
    Simulation simulation = busyUntilLoss(seed);
    simulation.workers().stream()
        .filter(worker -> !zoneOnly || worker.zone.equals("a"))
        .forEach(worker -> worker.hang(600 * SECOND));
    simulation.faults.forceLeaderChanges(28, 12 * SECOND);
    simulation.runUntil(LOSS_AT_MICROS + SECOND);
    int rentedBefore = simulation.cloud.rentedMachines;
    simulation.runUntil(LOSS_AT_MICROS + LOST_MACHINE_RETENTION_MICROS + RECOVERY_BOUND_MICROS);
    int replaced = simulation.cloud.rentedMachines - rentedBefore;
    assertTrue(replaced > 0, "no machine was rented in time");
    assertTasksKeepStarting(simulation, simulation.clock.now(), RECOVERY_BOUND_MICROS);
  }
}
