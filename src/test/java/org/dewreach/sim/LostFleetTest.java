package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * All machines are taken back at once, and the cloud lists them no more.
 *
 * <p>Nothing ran any more then, for as long as the test looked. A leader that hears no worker hands
 * over, since another one may hear them. The next leader reads the machines from their records and
 * waits for their leases, which it counts from its own beginning: 15.25 s with the margins of 15.6
 * s. After 14.1 s it hands over too, and the one after it begins anew. While machines of earlier
 * terms are open nothing is rented and no job of earlier terms is placed.
 *
 * <p>The log of seed 1 has "giving up the lead" for the terms 1, 72, 87, 95, 104, 112 and so on,
 * each of the later ones while RECOVERING with 9 machines, one of them up. Seed 3 passed because
 * three machines that were still booting came up: 8 unheard ones for 3 heard ones are not nearly
 * all, so the second leader stayed until the leases were over. With leases of 10 s no seed failed:
 * they are over before a leader hands over.
 */
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
    int before = simulation.checker.taskStarts;
    simulation.runUntil(250 * SECOND);
    assertNoViolations(simulation);
    int started = simulation.checker.taskStarts - before;
    assertTrue(started > 20, started + " tasks started in 70 s, two minutes after the loss");
  }
}
