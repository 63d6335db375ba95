package org.dewreach.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.api.Test;

/** What is rented for waiting tasks: {@link ScalingPlanner}. */
class ScalingPlannerTest {
  private static final long AMPLE_SLACK = Long.MAX_VALUE / 4;

  /** Holds two tasks; the cheaper of the two types, in both zones. */
  private static final MachineType BOX = type("box", 8, 1, "a", "b");

  /** As large, dearer, in zone b alone. */
  private static final MachineType CRATE = type("crate", 8, 3, "b");

  private final ScalingPlanner planner = new ScalingPlanner();

  private static MachineType type(String name, double cpus, double price, String... zones) {
    return new MachineType(name, cpus, 0, 32, 50, 1, price, price / 3, 20_000_000, List.of(zones));
  }

  /** A job of tasks that take half a machine each and run on ordinary machines only. */
  private static JobSpec job(
      String id, int tasks, String zone, boolean sameZone, boolean spreadZones) {
    return JobSpecBuilder.array(id)
        .tasks(tasks)
        .cpus(4)
        .zone(zone)
        .sameZone(sameZone)
        .spreadZones(spreadZones)
        .spot(false)
        .build();
  }

  private static JobSpec together(String id, int tasks) {
    return job(id, tasks, null, true, false);
  }

  private static CapacityRequirement requirement(JobSpec spec) {
    return new CapacityRequirement(spec, spec.tasks(), AMPLE_SLACK);
  }

  private static Machine booting(String name, MachineType type, String zone) {
    return new Machine(name, "", type, zone, false, MachinePhase.BOOTING, 0);
  }

  private static MachinePool onDemand(MachineType type, String zone) {
    return new MachinePool(type, zone, false);
  }

  /** Machines asked for, by zone. */
  private Map<String, Integer> plan(
      List<CapacityRequirement> requirements, List<Machine> machines, MachineType... catalog) {
    Map<String, Integer> byZone = new HashMap<>();
    for (Rental rental :
        planner.plan(requirements, machines, List.of(), List.of(catalog), true, 1_000_000)) {
      byZone.merge(rental.pool().zone(), rental.count(), Integer::sum);
    }
    return byZone;
  }

  /**
   * Guard: the zone of the bound tasks in {@code SharedZoneSelector.select}. Zone a has the cheaper
   * machines, which the job cannot use.
   */
  @Test
  void tasksThatShareAZoneGetMachinesWhereTheOthersAre() {
    MachineType onlyInA = type("box", 8, 1, "a");
    CapacityRequirement bound =
        new CapacityRequirement(together("req-1", 6), 4, AMPLE_SLACK, Map.of("b", 2, "a", 0));
    assertEquals(Map.of("b", 2), plan(List.of(bound), List.of(), onlyInA, CRATE));
  }

  /**
   * Guard: {@code CapacityPlan.copyOf} and {@code ZoneAllowance.only}. The machines to come in two
   * zones have room for all six tasks, those of one zone have not.
   */
  @Test
  void machinesToComeInSeveralZonesAreNotCountedTogether() {
    List<Machine> machines =
        List.of(booting("m1", BOX, "a"), booting("m2", BOX, "b"), booting("m3", BOX, "b"));
    assertEquals(Map.of("b", 1), plan(List.of(requirement(together("req-1", 6))), machines, BOX));
  }

  /** Guard: the job's id in {@code CapacityRequirement.groupKey}. */
  @Test
  void jobsThatShareAZoneEachAreNotPlannedAsOne() {
    CapacityRequirement inA =
        new CapacityRequirement(together("req-1", 4), 2, AMPLE_SLACK, Map.of("a", 2));
    CapacityRequirement inB =
        new CapacityRequirement(together("req-2", 4), 2, AMPLE_SLACK, Map.of("b", 2));
    assertEquals(Map.of("a", 1, "b", 1), plan(List.of(inA, inB), List.of(), BOX));
  }

  /**
   * Guard: the tasks left over decide in {@code SharedZoneSelector.select}, not the price alone.
   */
  @Test
  void aZoneThatCannotHoldTheJobIsNotRentedIn() {
    planner.onRefused(onDemand(BOX, "a"), 0);
    planner.onRefused(onDemand(BOX, "b"), 0);
    List<Machine> machines = List.of(booting("m1", BOX, "a"));
    assertEquals(
        Map.of("b", 2), plan(List.of(requirement(together("req-1", 4))), machines, BOX, CRATE));
  }

  /**
   * Guard: {@code SharedZoneSelector.fittingNow}. Machines that came for it wait with it for the
   * rest.
   */
  @Test
  void aJobStaysWithTheZoneInWhichSomeOfItsMachinesAreUp() {
    Machine up = booting("m1", BOX, "b");
    up.become(MachinePhase.UNCONFIRMED, 500_000);
    up.become(MachinePhase.UP, 500_000);
    up.commandable(true);
    assertTrue(up.schedulable());
    assertEquals(
        Map.of("b", 2), plan(List.of(requirement(together("req-1", 4))), List.of(up), BOX));
  }

  /** Guard: {@code ZoneAllowance.atMostHalf}; the cheaper machines are all in zone a. */
  @Test
  void aScatteredJobIsPlannedWithAtMostHalfOfItsTasksInOneZone() {
    MachineType onlyInA = type("box", 8, 1, "a");
    JobSpec nine = job("req-1", 9, null, false, true);
    assertEquals(
        Map.of("a", 3, "b", 2), plan(List.of(requirement(nine)), List.of(), onlyInA, CRATE));
    List<Machine> machines =
        List.of(
            booting("m1", onlyInA, "a"),
            booting("m2", onlyInA, "a"),
            booting("m3", onlyInA, "a"),
            booting("m4", onlyInA, "a"),
            booting("m5", onlyInA, "a"));
    assertEquals(Map.of("b", 2), plan(List.of(requirement(nine)), machines, onlyInA, CRATE));
    CapacityRequirement bound = new CapacityRequirement(nine, 5, AMPLE_SLACK, Map.of("a", 4));
    assertEquals(Map.of("a", 1, "b", 2), plan(List.of(bound), List.of(), onlyInA, CRATE));
  }

  /** A job of one task has no other to share a zone with, and goes where it is cheapest. */
  @Test
  void otherJobsAreRentedForWhereverTheyMayRun() {
    assertEquals(
        Map.of("b", 1),
        plan(List.of(requirement(job("req-1", 2, "b", false, false))), List.of(), BOX));
    assertEquals(
        Map.of("b", 1),
        plan(List.of(requirement(job("req-1", 2, "b", true, false))), List.of(), BOX));
    List<Machine> machines = List.of(booting("m1", BOX, "a"), booting("m2", BOX, "b"));
    JobSpec anywhere = job("req-1", 4, null, false, false);
    assertEquals(Map.of(), plan(List.of(requirement(anywhere)), machines, BOX));
    List<CapacityRequirement> ones =
        List.of(requirement(together("req-1", 1)), requirement(together("req-2", 1)));
    assertEquals(Map.of(), plan(ones, List.of(booting("m1", BOX, "a")), BOX));
  }

  /** Guards against requests above the cloud's limit, and against planning without end. */
  @Test
  void theLargestJobAsksForNoMoreThanARequestHolds() {
    JobSpec spec = JobSpecBuilder.array("req-1").tasks(100_000).build();
    MachineType type =
        new MachineType("box", 8, 0, 32, 50, 1, 1, 0.3, 20_000_000, List.of("a", "b"));
    List<Rental> rentals =
        new ScalingPlanner()
            .plan(
                List.of(new CapacityRequirement(spec, 100_000, Long.MAX_VALUE / 4)),
                List.of(),
                List.of(),
                List.of(type),
                true,
                0);
    assertTrue(!rentals.isEmpty());
    rentals.forEach(rental -> assertTrue(rental.count() <= 50, rental.toString()));
  }
}
