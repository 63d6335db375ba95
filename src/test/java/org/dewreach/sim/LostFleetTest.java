package org.dewreach.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** All machines are taken back at once, and the cloud lists them no more. */
class LostFleetTest {
  private static final long S = 1_000_000;

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  @DisplayName("A fleet that was taken back as a whole is replaced, and its jobs go on")
  void fleetTakenBack(long seed) {
    Simulation world = new Simulation(seed, 1, Simulation.Size.LONG_CANCEL);
    world.live(250 * S, 3 * S);
    world.play(60 * S);
    List<SimWorker> fleet = world.workers();
    assertTrue(fleet.size() >= 4, fleet.size() + " machines");
    fleet.forEach(worker -> world.cloud.take(worker.name));
    world.play(180 * S);
    int before = world.checker.started;
    world.play(250 * S);
    assertEquals(List.of(), world.checker.broken);
    int started = world.checker.started - before;
    assertTrue(started > 20, started + " tasks started in 70 s, two minutes after the loss");
  }
}
