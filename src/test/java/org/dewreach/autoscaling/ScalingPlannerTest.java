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

/** Tests which machines are rented for unplaced tasks: {@link ScalingPlanner}. */
class ScalingPlannerTest {
  private static final long AMPLE_SLACK = Long.MAX_VALUE / 4;

  /** Holds two tasks; the cheaper of the two types, on offer in both zones. */
  private static final MachineType CHEAP_TYPE = type("box", 8, 1, "a", "b");

  /** Equally large but more expensive; on offer only in zone b. */
  private static final MachineType EXPENSIVE_TYPE = type("crate", 8, 3, "b");

  private final ScalingPlanner planner = new ScalingPlanner();

  private static MachineType type(String name, double cpus, double price, String... zones) {
    return new MachineType(name, cpus, 0, 32, 50, 1, price, price / 3, 20_000_000, List.of(zones));
  }

  /** Returns a job whose tasks need half a machine each and run only on on-demand machines. */
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

  private static JobSpec sameZoneJob(String id, int tasks) {
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

  /** Returns the number of machines to be rented in each zone. */
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
   * Guards the choice of the bound tasks' zone in {@code SharedZoneSelector.select}: zone a has the
   * cheaper machines, but the job cannot use them.
   */
  @Test
  void sameZoneTasksGetMachinesInTheZoneOfTheBoundTasks() {
    MachineType onlyInA = type("box", 8, 1, "a");
    CapacityRequirement bound =
        new CapacityRequirement(sameZoneJob("req-1", 6), 4, AMPLE_SLACK, Map.of("b", 2, "a", 0));
    assertEquals(Map.of("b", 2), plan(List.of(bound), List.of(), onlyInA, EXPENSIVE_TYPE));
  }

  /**
   * Guards {@code CapacityPlan.copyOf} and {@code ZoneAllowance.only}: the expected machines of
   * both zones together have capacity for all six tasks, those of one zone do not.
   */
  @Test
  void expectedMachinesInSeveralZonesAreNotCombined() {
    List<Machine> machines =
        List.of(
            booting("m1", CHEAP_TYPE, "a"),
            booting("m2", CHEAP_TYPE, "b"),
            booting("m3", CHEAP_TYPE, "b"));
    assertEquals(
        Map.of("b", 1), plan(List.of(requirement(sameZoneJob("req-1", 6))), machines, CHEAP_TYPE));
  }

  /**
   * Guards the job's id in {@code CapacityRequirement.groupKey}: without it, jobs that must each
   * stay in a zone of their own choice are planned as one group.
   */
  @Test
  void sameZoneJobsArePlannedSeparately() {
    CapacityRequirement inA =
        new CapacityRequirement(sameZoneJob("req-1", 4), 2, AMPLE_SLACK, Map.of("a", 2));
    CapacityRequirement inB =
        new CapacityRequirement(sameZoneJob("req-2", 4), 2, AMPLE_SLACK, Map.of("b", 2));
    assertEquals(Map.of("a", 1, "b", 1), plan(List.of(inA, inB), List.of(), CHEAP_TYPE));
  }

  /**
   * Guards the comparison in {@code SharedZoneSelector.select}: the number of tasks left over
   * decides before the price.
   */
  @Test
  void noMachinesAreRentedInAZoneThatCannotHoldTheJob() {
    planner.onRefused(onDemand(CHEAP_TYPE, "a"), 0);
    planner.onRefused(onDemand(CHEAP_TYPE, "b"), 0);
    List<Machine> machines = List.of(booting("m1", CHEAP_TYPE, "a"));
    assertEquals(
        Map.of("b", 2),
        plan(List.of(requirement(sameZoneJob("req-1", 4))), machines, CHEAP_TYPE, EXPENSIVE_TYPE));
  }

  /**
   * Guards {@code SharedZoneSelector.countTasksFittingNow}: the job stays in the zone where a
   * machine that was rented for it is up already, and waits there for the remaining machines.
   */
  @Test
  void aSameZoneJobPrefersTheZoneWhereSomeOfItsMachinesAreUp() {
    Machine up = booting("m1", CHEAP_TYPE, "b");
    up.changePhase(MachinePhase.UNCONFIRMED, 500_000);
    up.changePhase(MachinePhase.UP, 500_000);
    up.commandable(true);
    assertTrue(up.schedulable());
    assertEquals(
        Map.of("b", 2),
        plan(List.of(requirement(sameZoneJob("req-1", 4))), List.of(up), CHEAP_TYPE));
  }

  /** Guards {@code ZoneAllowance.atMostHalf}: all of the cheaper machines are in zone a. */
  @Test
  void aSpreadJobIsPlannedWithAtMostHalfOfItsTasksPerZone() {
    MachineType onlyInA = type("box", 8, 1, "a");
    JobSpec nineTasks = job("req-1", 9, null, false, true);
    assertEquals(
        Map.of("a", 3, "b", 2),
        plan(List.of(requirement(nineTasks)), List.of(), onlyInA, EXPENSIVE_TYPE));
    List<Machine> machines =
        List.of(
            booting("m1", onlyInA, "a"),
            booting("m2", onlyInA, "a"),
            booting("m3", onlyInA, "a"),
            booting("m4", onlyInA, "a"),
            booting("m5", onlyInA, "a"));
    assertEquals(
        Map.of("b", 2), plan(List.of(requirement(nineTasks)), machines, onlyInA, EXPENSIVE_TYPE));
    CapacityRequirement bound = new CapacityRequirement(nineTasks, 5, AMPLE_SLACK, Map.of("a", 4));
    assertEquals(Map.of("a", 1, "b", 2), plan(List.of(bound), List.of(), onlyInA, EXPENSIVE_TYPE));
  }

  /**
   * A same-zone job of one task has no other task to share a zone with, so it is planned where it
   * is cheapest.
   */
  @Test
  void jobsWithoutZoneRulesUseTheCheapestAllowedZone() {
    assertEquals(
        Map.of("b", 1),
        plan(List.of(requirement(job("req-1", 2, "b", false, false))), List.of(), CHEAP_TYPE));
    assertEquals(
        Map.of("b", 1),
        plan(List.of(requirement(job("req-1", 2, "b", true, false))), List.of(), CHEAP_TYPE));
    List<Machine> machines =
        List.of(booting("m1", CHEAP_TYPE, "a"), booting("m2", CHEAP_TYPE, "b"));
    JobSpec anywhere = job("req-1", 4, null, false, false);
    assertEquals(Map.of(), plan(List.of(requirement(anywhere)), machines, CHEAP_TYPE));
    List<CapacityRequirement> singleTasks =
        List.of(requirement(sameZoneJob("req-1", 1)), requirement(sameZoneJob("req-2", 1)));
    assertEquals(Map.of(), plan(singleTasks, List.of(booting("m1", CHEAP_TYPE, "a")), CHEAP_TYPE));
  }

  /** Guards against requests above the cloud's limit, and against unbounded planning. */
  @Test
  void theLargestJobIsLimitedToOneRequestPerPool() {
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
