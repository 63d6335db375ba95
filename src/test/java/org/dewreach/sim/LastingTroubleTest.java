package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dewreach.testing.JobSpecBuilder;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the rules after each step of seeded simulation runs in which nothing but the controllers
 * ends a trouble: users keep their connections, faults last for longer than queries may fail, and
 * the cloud stays short of machines also after all faults.
 */
class LastingTroubleTest {
  private static final long FAULTS_FROM = 20 * SECOND;
  private static final long LONG_FAULT_AT = 45 * SECOND;
  private static final long LAST_JOB_AT = 150 * SECOND;
  private static final long FAULTS_END_AT = 215 * SECOND;
  private static final long CHECKED_UNTIL = 340 * SECOND;

  /** Longer than the 90 s for which all queries about one job may fail. */
  private static final long LONG_OUTAGE_MICROS = 110 * SECOND;

  /** Few enough machines that jobs wait for room in most runs. */
  private static final int MAX_MACHINES = 3;

  /** Services that nobody cancels, so that machines are not returned as empty. */
  private static final int LASTING_SERVICES = 4;

  private static Simulation withConnections(long seed) {
    Simulation simulation = new Simulation(seed);
    simulation.keepUserConnections();
    simulation.startWorkload(LAST_JOB_AT, 3 * SECOND);
    simulation.network.lossRate = 0.002;
    simulation.staleMessages.lateCopyShare = 5;
    RandomFault.schedule(simulation, FAULTS_FROM);
    simulation.checker.faultsEndAt = FAULTS_END_AT;
    simulation.clock.at(FAULTS_END_AT, simulation.requests::resumeAbandonedCancellations);
    return simulation;
  }

  static Simulation runWithLongFault(long seed) {
    Simulation simulation = withConnections(seed);
    assertTrue(LongFault.endsBy(LONG_FAULT_AT) < FAULTS_END_AT);
    LongFault.schedule(simulation, LONG_FAULT_AT);
    simulation.runUntil(CHECKED_UNTIL);
    return simulation;
  }

  static Simulation runWithScarceMachines(long seed) {
    Simulation simulation = withConnections(seed);
    simulation.cloud.maxMachines = MAX_MACHINES;
    simulation.users.failingShare = 100;
    for (int i = 0; i < LASTING_SERVICES; i++) {
      simulation.users.submitJob(
          JobSpecBuilder.service("req-lasting" + i)
              .cpus(2)
              .team(i % 2 == 0 ? "red" : "blue")
              .build());
    }
    simulation.clock.at(FAULTS_END_AT, simulation::repairMachines);
    simulation.runUntil(CHECKED_UNTIL);
    return simulation;
  }

  /**
   * Guards against users of an isolated controller that reports to be ready, which RulesTest passed
   * over: there each request goes to a controller drawn anew.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  @DisplayName("The rules hold for users with connections under faults that last for long")
  void rulesHoldUnderLongFaults(long seed) {
    Simulation simulation = runWithLongFault(seed);
    assertNoViolations(simulation);
    assertTrue(simulation.checker.taskCompletions > 0, "no task completed");
  }

  /**
   * Guards against jobs that wait beside a machine with room for as long as the cloud has no other,
   * which RulesTest passed over: there another machine came within seconds.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  @DisplayName("The rules hold while the cloud stays short of machines")
  void rulesHoldWhileTheCloudStaysShort(long seed) {
    Simulation simulation = runWithScarceMachines(seed);
    assertNoViolations(simulation);
    assertTrue(simulation.checker.taskCompletions > 0, "no task completed");
    assertTrue(simulation.cloud.peakMachines <= MAX_MACHINES);
  }

  /**
   * Guards against jobs about which no query is answered for as long as an outage lasts in which
   * the key-value store is silent, since the outcome of a write that was in flight is not known.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  @DisplayName("The rules hold while the key-value store is silent for long")
  void rulesHoldWhileTheStoreIsSilent(long seed) {
    Simulation simulation = new Simulation(seed);
    simulation.keepUserConnections();
    simulation.startWorkload(LAST_JOB_AT, 3 * SECOND);
    simulation.runUntil(LONG_FAULT_AT);
    simulation.faults.silenceStore(LONG_OUTAGE_MICROS);
    simulation.checker.faultsEndAt = FAULTS_END_AT;
    simulation.runUntil(CHECKED_UNTIL);
    assertNoViolations(simulation);
  }

  /** Runs seeds beyond the fixed ones: for example -Dsim.seeds=1000 -Dsim.from=2000. */
  @Test
  @DisplayName("The rules hold under lasting troubles with additional seeds, set by sim.seeds")
  void moreSeeds() {
    long from = Long.getLong("sim.from", 1000);
    for (long seed = from; seed < from + Long.getLong("sim.seeds", 2); seed++) {
      assertEquals(
          List.of(), runWithLongFault(seed).checker.violations, "long fault, seed " + seed);
      assertEquals(
          List.of(), runWithScarceMachines(seed).checker.violations, "few machines, seed " + seed);
    }
  }
}
