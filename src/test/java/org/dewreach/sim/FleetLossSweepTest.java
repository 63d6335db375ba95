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
 * Random losses of a fleet or a part of it, each together with a random fault. To run more seeds:
 *
 * <pre>mvn -B test -Dtest=FleetLossSweepTest -DargLine=-Dsim.losses=300</pre>
 */
class FleetLossSweepTest {
  private static final int SEEDS = Integer.getInteger("sim.losses", 12);

  /**
   * The time for which a stopped machine is still listed as running: 30 s, in a list that lags by
   * up to 6 s.
   */
  private static final long STOPPED_MACHINE_LISTED_MICROS = 36 * SECOND;

  /** The way in which the machines are lost. */
  private enum Loss {
    RECLAIMED,
    HUNG,
    STOPPED;

    void applyTo(Simulation simulation, SimWorker worker) {
      switch (this) {
        case RECLAIMED -> simulation.cloud.terminate(worker.name);
        case HUNG -> worker.hang(600 * SECOND);
        case STOPPED -> simulation.cloud.failMachine(worker.name);
      }
    }

    /** The time by which this loss, as the protocol can detect it, extends the recovery bound. */
    long extraDelayMicros(ConcurrentFault fault) {
      long delay = fault.durationMicros + (this == STOPPED ? STOPPED_MACHINE_LISTED_MICROS : 0);
      if (this == HUNG && fault == ConcurrentFault.PEERS_PARTITIONED) {
        delay += FleetLossTest.TWO_SHORT_TERMS_MICROS;
      }
      if (this == HUNG && fault == ConcurrentFault.LEADERS_CHANGE) {
        delay += FleetLossTest.LOST_MACHINE_RETENTION_MICROS;
      }
      return delay;
    }
  }

  /** The set of machines that is lost. */
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

  private static void run(Simulation simulation, Loss loss, Extent extent, ConcurrentFault fault) {
    fault.inject.accept(simulation);
    simulation.workers().stream()
        .filter(extent.includes)
        .forEach(worker -> loss.applyTo(simulation, worker));
    FleetLossTest.assertTasksKeepStarting(
        simulation,
        FleetLossTest.LOSS_AT_MICROS,
        FleetLossTest.RECOVERY_BOUND_MICROS + loss.extraDelayMicros(fault));
  }

  @Test
  @DisplayName(
      "Tasks start again in time after the loss of any part of a fleet, alone or with a fault")
  void randomLosses() {
    List<String> failures = new ArrayList<>();
    int tooSmall = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Loss loss = pick(random, Loss.values());
      Extent extent = pick(random, Extent.values());
      ConcurrentFault fault = pick(random, ConcurrentFault.values());
      Simulation simulation = FleetLossTest.busyUntil(seed, FleetLossTest.LOSS_AT_MICROS);
      if (simulation.workers().size() < FleetLossTest.MIN_MACHINES) {
        tooSmall++;
        continue;
      }
      try {
        run(simulation, loss, extent, fault);
      } catch (AssertionError e) {
        failures.add(
            "seed " + seed + ", " + loss + " " + extent + " " + fault + ": " + e.getMessage());
      }
    }
    assertEquals(List.of(), failures);
    assertTrue(tooSmall <= SEEDS / 20, tooSmall + " fleets of " + SEEDS + " were too small");
  }
}
