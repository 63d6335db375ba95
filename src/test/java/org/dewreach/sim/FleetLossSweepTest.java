package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.dewreach.sim.FleetLossTest.Circumstance;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Drawn losses of a fleet or a part of it, each in drawn circumstances. More seeds:
 *
 * <pre>mvn -B test -Dtest=FleetLossSweepTest -DargLine=-Dsim.losses=300</pre>
 */
class FleetLossSweepTest {
  private static final int SEEDS = Integer.getInteger("sim.losses", 12);

  /** A stopped machine is listed as running for 30 s more, in a list that lags by up to 6 s. */
  private static final long STOP_LISTED = 36 * SECOND;

  /** What becomes of the machines. */
  private enum Loss {
    TAKEN,
    HANGS,
    STOPS;

    void happen(Simulation simulation, SimWorker worker) {
      switch (this) {
        case TAKEN -> simulation.cloud.terminate(worker.name);
        case HANGS -> worker.hang(600 * SECOND);
        case STOPS -> simulation.cloud.failMachine(worker.name);
      }
    }

    /** For how much longer than at best work may rest, by what the protocol lets be known. */
    long delay(Circumstance circumstance) {
      long delay = circumstance.lasts + (this == STOPS ? STOP_LISTED : 0);
      if (this == HANGS && circumstance == Circumstance.PEERS_CUT) {
        delay += FleetLossTest.TURNS;
      }
      if (this == HANGS && circumstance == Circumstance.LEADERS_CHANGE) {
        delay += FleetLossTest.KEPT_OVER_TERMS;
      }
      return delay;
    }
  }

  /** Which machines it happens to. */
  private enum Extent {
    FLEET(worker -> true),
    ZONE(worker -> worker.zone.equals("a")),
    SPOT_MACHINES(worker -> worker.spot);

    final Predicate<SimWorker> includes;

    Extent(Predicate<SimWorker> includes) {
      this.includes = includes;
    }
  }

  private static <T> T draw(SplittableRandom random, T[] values) {
    return values[random.nextInt(values.length)];
  }

  private static void play(
      Simulation simulation, Loss loss, Extent extent, Circumstance circumstance) {
    circumstance.begin.accept(simulation);
    simulation.workers().stream()
        .filter(extent.includes)
        .forEach(worker -> loss.happen(simulation, worker));
    FleetLossTest.assertWorkGoesOn(
        simulation, FleetLossTest.LOSS, FleetLossTest.BOUND + loss.delay(circumstance));
  }

  @Test
  @DisplayName("Whatever part of a fleet is lost, in whatever circumstances, work goes on in time")
  void drawnLosses() {
    List<String> failures = new ArrayList<>();
    int tooSmall = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Loss loss = draw(random, Loss.values());
      Extent extent = draw(random, Extent.values());
      Circumstance circumstance = draw(random, Circumstance.values());
      Simulation simulation = FleetLossTest.busyUntil(seed, FleetLossTest.LOSS);
      if (simulation.workers().size() < FleetLossTest.LEAST_MACHINES) {
        tooSmall++;
        continue;
      }
      try {
        play(simulation, loss, extent, circumstance);
      } catch (AssertionError e) {
        failures.add(
            "seed "
                + seed
                + ", "
                + loss
                + " "
                + extent
                + " "
                + circumstance
                + ": "
                + e.getMessage());
      }
    }
    assertEquals(List.of(), failures);
    assertTrue(tooSmall <= SEEDS / 20, tooSmall + " fleets of " + SEEDS + " were too small");
  }
}
