package org.dewreach.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dewreach.fleet.FleetPlanner.Need;
import org.dewreach.fleet.FleetPlanner.Rental;
import org.dewreach.wire.JobRequest;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.Shape;
import org.dewreach.wire.Urgency;
import org.junit.jupiter.api.Test;

class FleetPlannerTest {
  /** Guards against requests above the cloud's limit, and against planning without end. */
  @Test
  void theLargestJobAsksForNoMoreThanARequestHolds() {
    JobRequest spec =
        new JobRequest(
            "req-1",
            "l",
            "t",
            Shape.SWEEP,
            Urgency.NORMAL,
            100_000,
            1,
            0,
            1,
            "i",
            1,
            null,
            null,
            false,
            false,
            true,
            10_000_000,
            0,
            0,
            -1);
    MachineType type =
        new MachineType("box", 8, 0, 32, 50, 1, 1, 0.3, 20_000_000, List.of("a", "b"));
    List<Rental> rentals =
        new FleetPlanner()
            .plan(
                List.of(new Need(spec, 100_000, Long.MAX_VALUE / 4)),
                List.of(),
                List.of(),
                List.of(type),
                true,
                0);
    assertTrue(!rentals.isEmpty());
    rentals.forEach(rental -> assertTrue(rental.count() <= 50, rental.toString()));
  }
}
