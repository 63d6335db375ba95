package org.dewreach.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.config.Settings;
import org.dewreach.controller.SettingsFixture;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.RestartCheck;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.api.Test;

/** Tests the conditions of machines derived from heartbeats and leases: {@link FailureDetector}. */
class FailureDetectorTest {
  private static final long SECOND = 1_000_000;

  /** The heartbeat interval is 1 s, leases last 10 s. */
  private static final Settings SETTINGS = SettingsFixture.twoControllers(10 * SECOND);

  private static final MachineType TYPE = ClusterFixture.type("box", 8, 32, 0);

  private final FailureDetector detector =
      new FailureDetector(
          new LeaseDelegations(ClusterFixture.TERM, SETTINGS, () -> Long.MIN_VALUE),
          SETTINGS.workers(),
          0);

  private static Machine upMachine(String name, long lastHeartbeat) {
    Machine machine = ClusterFixture.newUpMachine(name, TYPE, false);
    machine.heartbeats().recordHeartbeat(lastHeartbeat);
    return machine;
  }

  private static List<Machine> machines(String prefix, int count, long lastHeartbeat) {
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      machines.add(upMachine(prefix + i, lastHeartbeat));
    }
    return machines;
  }

  private FleetHealth assess(List<Machine> machines, long nowMicros) {
    return detector.assess(machines, nowMicros);
  }

  private MachineCondition condition(Machine machine, long nowMicros) {
    FleetHealth health = assess(List.of(machine), nowMicros);
    return health.byCondition().keySet().iterator().next();
  }

  @Test
  void aMachineIsOverdueBeforeItIsSilent() {
    Machine machine = upMachine("m1", 20 * SECOND);
    assertEquals(List.of(), assess(List.of(machine), 22_500_000).overdue());
    assertEquals(List.of(machine), assess(List.of(machine), 22_500_001).overdue());
    assertEquals(MachineCondition.RESPONSIVE, condition(machine, 24_500_000));
    assertEquals(MachineCondition.SILENT, condition(machine, 24_500_001));
  }

  @Test
  void silenceIsMeasuredFromAuthorityGained() {
    Machine machine = upMachine("m1", 0);
    assertTrue(detector.isSilent(machine, 10 * SECOND));
    detector.onAuthorityGained(9 * SECOND);
    assertFalse(detector.isSilent(machine, 10 * SECOND));
  }

  @Test
  void aLeaseExpiresAfterItsLengthWithDriftAndMargin() {
    Machine machine = upMachine("m1", 20 * SECOND);
    machine.heartbeats().recordLeaseRenewal(20 * SECOND);
    assertFalse(detector.leaseExpired(machine, 30_320_000));
    assertTrue(detector.leaseExpired(machine, 30_320_001));
    machine.heartbeats().restartCheck(RestartCheck.CHECKING);
    assertFalse(
        detector.leaseExpired(machine, 60 * SECOND), "a restarted worker has a lease of its own");
  }

  @Test
  void aPossiblyRestartedWorkerCountsAsRestartedOnceSilent() {
    Machine machine = upMachine("m1", 20 * SECOND);
    machine.heartbeats().restartCheck(RestartCheck.CHECKING);
    assertEquals(MachineCondition.RESPONSIVE, condition(machine, 21 * SECOND));
    assertEquals(MachineCondition.RESTARTED, condition(machine, 30 * SECOND));
    machine.heartbeats().restartCheck(RestartCheck.CONFIRMED);
    assertEquals(MachineCondition.RESTARTED, condition(machine, 21 * SECOND));
  }

  @Test
  void aMachineThatMissesResponsesIsNeitherOverdueNorReachable() {
    Machine machine = upMachine("m1", 20 * SECOND);
    machine.heartbeats().recordResponseDelivery(false);
    machine.heartbeats().recordResponseDelivery(false);
    FleetHealth health = assess(List.of(machine), 21 * SECOND);
    assertEquals(List.of(machine), health.in(MachineCondition.MISSES_RESPONSES));
    assertEquals(List.of(), health.overdue());
    assertEquals(0, health.reachable());
  }

  @Test
  void aBootTimesOutAfterThreeBootTimesAnd30Seconds() {
    Machine machine = ClusterFixture.newMachine("m1", TYPE, false, MachinePhase.BOOTING);
    assertEquals(MachineCondition.BOOTING, condition(machine, 45 * SECOND));
    assertEquals(MachineCondition.BOOT_TIMED_OUT, condition(machine, 45 * SECOND + 1));
  }

  @Test
  void aLostMachineTimesOutAfter75Seconds() {
    Machine machine = upMachine("m1", 20 * SECOND);
    machine.changePhase(MachinePhase.LOST, 31 * SECOND);
    assertEquals(MachineCondition.LOST, condition(machine, 95 * SECOND));
    assertEquals(MachineCondition.LOST_TIMED_OUT, condition(machine, 95 * SECOND + 1));
    machine.changePhase(MachinePhase.TERMINATING, 96 * SECOND);
    assertEquals(MachineCondition.BEING_RELEASED, condition(machine, 96 * SECOND));
  }

  @Test
  void unreachableMachinesAreFewUpToAThirdOfTheReachableOnes() {
    List<Machine> machines = machines("up", 12, 20 * SECOND);
    machines.addAll(machines("unreachable", 4, 0));
    assertTrue(assess(machines, 21 * SECOND).fewUnreachable());
    machines.addAll(machines("more", 1, 0));
    assertFalse(assess(machines, 21 * SECOND).fewUnreachable());
  }

  @Test
  void lostMachinesCountAmongTheUnreachable() {
    List<Machine> machines = machines("up", 12, 20 * SECOND);
    machines.addAll(machines("unreachable", 4, 0));
    Machine lost = upMachine("lost", 0);
    lost.changePhase(MachinePhase.LOST, 11 * SECOND);
    machines.add(lost);
    assertFalse(assess(machines, 21 * SECOND).fewUnreachable());
  }

  @Test
  void aPartitionIsDetectedInTwoRoundsAfterTheLeaderDiscoveryTime() {
    PartitionDetector partition = new PartitionDetector(SETTINGS);
    FleetHealth unreachable = assess(machines("unreachable", 3, 0), 20 * SECOND);
    assertTrue(unreachable.nearlyAllUnreachable());
    // One other controller: 1.25 s for the last heartbeat, 5 s for the other controller, and a
    // margin of 1 s.
    partition.onRound(unreachable, 7_250_000);
    partition.onRound(unreachable, 7_250_000);
    assertFalse(
        partition.partitionedFromWorkers(), "workers may still be trying the other controllers");
    partition.onRound(unreachable, 7_250_001);
    assertFalse(partition.partitionedFromWorkers(), "a single round is not enough");
    partition.onRound(unreachable, 8_250_001);
    assertTrue(partition.partitionedFromWorkers());
    partition.onRound(assess(machines("up", 1, 20 * SECOND), 21 * SECOND), 9 * SECOND);
    assertFalse(partition.partitionedFromWorkers());
  }

  @Test
  void twoUnreachableMachinesAreNoPartition() {
    assertFalse(assess(machines("unreachable", 2, 0), 20 * SECOND).nearlyAllUnreachable());
    List<Machine> machines = machines("unreachable", 5, 0);
    machines.addAll(machines("up", 2, 20 * SECOND));
    assertFalse(assess(machines, 21 * SECOND).nearlyAllUnreachable());
  }
}
