package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.dewreach.sim.FleetLossTest.ConcurrentFault;
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
  private static final long STOPPED_MACHINE_LISTED_MICROS = 36 * SECOND;

  /** What becomes of the machines. */
  private enum Loss {
    RECLAIMED,
    HUNG,
    STOPPED;

    void applyTo(Simulation simulation, SimWorker worker) {
      switch (this) {
        case RECLAIMED -> simulation.cloud.terminate(worker.name);
        case HUNG -> worker.hang(600 * SECOND);
        case STOPPED -> simulation.cloud.stop(worker.name);
      }
    }

    /** For how much longer than at best work may rest, by what the protocol lets be known. */
    long extraDelayMicros(ConcurrentFault circumstance) {
      long delay =
          circumstance.durationMicros + (this == STOPPED ? STOPPED_MACHINE_LISTED_MICROS : 0);
      if (this == HUNG && circumstance == ConcurrentFault.PEERS_PARTITIONED) {
        delay += FleetLossTest.TWO_SHORT_TERMS_MICROS;
      }
      if (this == HUNG && circumstance == ConcurrentFault.LEADERS_CHANGE) {
        delay += FleetLossTest.LOST_MACHINE_RETENTION_MICROS;
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

  private static <T> T pick(SplittableRandom random, T[] values) {
    return values[random.nextInt(values.length)];
  }

  private static void run(
      Simulation simulation, Loss loss, Extent extent, ConcurrentFault circumstance) {
    circumstance.inject.accept(simulation);
    simulation.workers().stream()
        .filter(extent.includes)
        .forEach(worker -> loss.applyTo(simulation, worker));
    FleetLossTest.assertTasksKeepStarting(
        simulation,
        FleetLossTest.LOSS_AT_MICROS,
        FleetLossTest.RECOVERY_BOUND_MICROS + loss.extraDelayMicros(circumstance));
  }

  @Test
  @DisplayName("Whatever part of a fleet is lost, in whatever circumstances, work goes on in time")
  void randomLosses() {
    List<String> failures = new ArrayList<>();
    int tooSmall = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Loss loss = pick(random, Loss.values());
      Extent extent = pick(random, Extent.values());
      ConcurrentFault circumstance = pick(random, ConcurrentFault.values());
      Simulation simulation = FleetLossTest.busyUntil(seed, FleetLossTest.LOSS_AT_MICROS);
      if (simulation.workers().size() < FleetLossTest.MIN_MACHINES) {
        tooSmall++;
        continue;
      }
      try {
        run(simulation, loss, extent, circumstance);
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
