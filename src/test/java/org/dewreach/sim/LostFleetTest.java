package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The cloud reclaims all machines at once and no longer lists them.
 *
 * <p>Guards against a cluster that never runs a task again. Until the leases of the machines have
 * expired, 15.25 s after the start of a term (15.6 s with the margins), nothing is rented and no
 * job of earlier terms is placed; but a leader without heartbeats steps down after 14.1 s, since
 * another controller may receive them, and the next leader starts counting again. Leases of 10 s
 * expire earlier than that and hide the fault.
 *
 * <p>Seed 1 failed in this way. Seed 3 passed because three booting machines came up: with 8 of 11
 * machines silent, which is not nearly all, the second leader kept the lead long enough.
 */
class LostFleetTest {
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  @DisplayName("A fleet that is reclaimed as a whole is replaced, and its jobs continue")
  void reclaimedFleetIsReplaced(long seed) {
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
