package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** All machines are taken back at once, and the cloud lists them no more. */
class LostFleetTest {
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  @DisplayName("A fleet that was taken back as a whole is replaced, and its jobs go on")
  void fleetTakenBack(long seed) {
    Simulation simulation = new Simulation(seed, 1, ClusterSize.LONG_CANCEL);
    simulation.startWorkload(250 * SECOND, 3 * SECOND);
    simulation.runUntil(60 * SECOND);
    List<SimWorker> fleet = simulation.workers();
    assertTrue(fleet.size() >= 4, fleet.size() + " machines");
    fleet.forEach(worker -> simulation.cloud.terminate(worker.name));
    simulation.runUntil(180 * SECOND);
    int before = simulation.checker.started;
    simulation.runUntil(250 * SECOND);
    assertNoViolations(simulation);
    int started = simulation.checker.started - before;
    assertTrue(started > 20, started + " tasks started in 70 s, two minutes after the loss");
  }
}
