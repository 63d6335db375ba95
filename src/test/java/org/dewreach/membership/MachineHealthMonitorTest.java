package org.dewreach.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.autoscaling.ScaleInExecutor;
import org.dewreach.config.Settings;
import org.dewreach.controller.SettingsFixture;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.TaskPhase;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.api.Test;

/** Tests how silent, overdue and lost machines are handled: {@link MachineHealthMonitor}. */
class MachineHealthMonitorTest {
  private static final long SECOND = 1_000_000;

  /** The heartbeat interval is 1 s, leases last 10 s. */
  private static final Settings SETTINGS = SettingsFixture.oneController();

  private static final MachineType TYPE = ClusterFixture.type("box", 8, 32, 0);

  private final ClusterFixture cluster = new ClusterFixture(SETTINGS.teams());
  private final FailureDetector detector =
      new FailureDetector(
          new LeaseDelegations(ClusterFixture.TERM, SETTINGS, () -> Long.MIN_VALUE),
          SETTINGS.workers(),
          0);
  private final MachineHealthMonitor monitor =
      new MachineHealthMonitor(
          cluster.state(),
          detector,
          new PartitionDetector(SETTINGS),
          new ScaleInExecutor(cluster.state(), null, null));

  private List<Machine> upMachines(String prefix, int count) {
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      machines.add(cluster.add(ClusterFixture.newUpMachine(prefix + i, TYPE, false)));
    }
    heartbeats(machines, 0);
    return machines;
  }

  private static void heartbeats(List<Machine> machines, long nowMicros) {
    machines.forEach(machine -> machine.heartbeats().recordHeartbeat(nowMicros));
    machines.forEach(machine -> machine.heartbeats().recordLeaseRenewal(nowMicros));
  }

  private static void assertPhase(MachinePhase expected, List<Machine> machines) {
    machines.forEach(machine -> assertEquals(expected, machine.phase(), machine.name()));
  }

  @Test
  void aSilentMachineIsReleasedWhileTheOthersAreReachable() {
    List<Machine> silent = upMachines("silent", 1);
    List<Machine> reachable = upMachines("reachable", 5);
    Job job = cluster.submitted(JobSpecBuilder.array("req-1").build());
    cluster.bind(job, 0, silent.get(0), TaskPhase.RUNNING, 0);
    heartbeats(reachable, 5 * SECOND);
    monitor.checkMachines(5 * SECOND);
    assertPhase(MachinePhase.TERMINATING, silent);
    assertPhase(MachinePhase.UP, reachable);
    assertTrue(
        job.hasBoundTasks(), "the task of the silent machine is bound until the machine is gone");
  }

  @Test
  void anOverdueMachineReceivesNoNewTasks() {
    List<Machine> overdue = upMachines("overdue", 1);
    monitor.checkMachines(3 * SECOND);
    assertPhase(MachinePhase.UP, overdue);
    assertFalse(overdue.get(0).schedulable());
  }

  @Test
  void whenManyMachinesAreSilentTheirLeasesMustExpireFirst() {
    List<Machine> silent = upMachines("silent", 4);
    Job job = cluster.submitted(JobSpecBuilder.array("req-1").build());
    cluster.bind(job, 0, silent.get(0), TaskPhase.RUNNING, 0);
    monitor.checkMachines(10 * SECOND);
    assertPhase(MachinePhase.UP, silent);
    assertTrue(job.hasBoundTasks());
    monitor.checkMachines(11 * SECOND);
    assertPhase(MachinePhase.LOST, silent);
    assertFalse(job.hasBoundTasks(), "the worker killed its task when the lease expired");
    monitor.checkMachines(76 * SECOND);
    assertPhase(MachinePhase.TERMINATING, silent);
  }

  @Test
  void theLastMachinesWithoutAHeartbeatInANewTermAreReleasedEarly() {
    List<Machine> reachable = upMachines("reachable", 40);
    List<Machine> unknown =
        List.of(
            cluster.add(ClusterFixture.newMachine("unknown", TYPE, false, MachinePhase.UNKNOWN)));
    heartbeats(reachable, 2 * SECOND);
    monitor.checkMachines(2 * SECOND);
    assertPhase(MachinePhase.UNKNOWN, unknown);
    heartbeats(reachable, 3 * SECOND);
    monitor.checkMachines(3 * SECOND);
    assertPhase(MachinePhase.TERMINATING, unknown);
    assertPhase(MachinePhase.UP, reachable);
  }

  /** Guards against a new leader that releases machines before it can have heard them. */
  @Test
  void aMachineThatWasListedLongAgoHasTheTimeToSendAHeartbeat() {
    Machine listed =
        cluster.add(ClusterFixture.newMachine("listed", TYPE, false, MachinePhase.BOOTING));
    listed.knownSince(-300 * SECOND);
    monitor.checkMachines(SECOND);
    assertPhase(MachinePhase.BOOTING, List.of(listed));
    monitor.checkMachines(10 * SECOND);
    assertPhase(MachinePhase.TERMINATING, List.of(listed));
  }

  @Test
  void tasksOfAMachineThatIsBeingReleasedAreUnboundAfterLeaseExpiry() {
    List<Machine> silent = upMachines("silent", 1);
    List<Machine> reachable = upMachines("reachable", 5);
    Job job = cluster.submitted(JobSpecBuilder.array("req-1").build());
    cluster.bind(job, 0, silent.get(0), TaskPhase.RUNNING, 0);
    heartbeats(reachable, 10 * SECOND);
    monitor.checkMachines(10 * SECOND);
    assertPhase(MachinePhase.TERMINATING, silent);
    assertTrue(job.hasBoundTasks());
    heartbeats(reachable, 11 * SECOND);
    monitor.checkMachines(11 * SECOND);
    assertPhase(MachinePhase.TERMINATING, silent);
    assertFalse(job.hasBoundTasks(), "whether or not the cloud has confirmed the release");
  }
}
