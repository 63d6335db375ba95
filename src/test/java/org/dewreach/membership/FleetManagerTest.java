package org.dewreach.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dewreach.cloud.CloudClient;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.controller.SettingsFixture;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.TaskPhase;
import org.dewreach.port.Outbox;
import org.dewreach.state.ClusterState;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.WriteLimits;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.MachineType;
import org.junit.jupiter.api.Test;

/** Tests when a quarantined machine is released, and when it is used again. */
class FleetManagerTest {
  private static final long SECOND = 1_000_000;
  private static final MachineType TYPE = ClusterFixture.type("box", 8, 32, 0);
  private static final Settings SETTINGS = SettingsFixture.twoControllers(10 * SECOND);

  private final Outbox outbox = new Outbox();
  private final CloudClient cloud = new CloudClient(outbox, 100);
  private final ClusterFixture cluster = new ClusterFixture(SETTINGS.teams());
  private final ClusterState clusterState = cluster.state();
  private final MachineRegistry registry =
      new MachineRegistry(null, new WriteLimits(8192, 24, 100), 0, null);
  private final FleetManager fleet =
      new FleetManager(
          ClusterFixture.TERM,
          clusterState,
          registry,
          new LeaseDelegations(ClusterFixture.TERM, SETTINGS, () -> Long.MIN_VALUE),
          cloud,
          new MachineTypeCatalog(new KeyValueStore(outbox), cloud),
          SETTINGS,
          Tuning.DEFAULT,
          0,
          0);

  private Machine machine(String name) {
    return cluster.add(ClusterFixture.newUpMachine(name, TYPE, false));
  }

  private Job job(String id) {
    return cluster.submitted(JobSpecBuilder.array(id).tasks(4).build());
  }

  /** Each second, all machines send a heartbeat and the fleet manager runs a round. */
  private void runRounds(long fromMicros, long untilMicros) {
    for (long at = fromMicros; at <= untilMicros; at += SECOND) {
      long now = at;
      clusterState
          .machines()
          .values()
          .forEach(machine -> machine.heartbeats().recordHeartbeat(now));
      fleet.tick(now, List.of(), false);
    }
  }

  private void recordFailure(Machine machine, Job job, long atMicros) {
    job.backoff().recordFailure(machine.name(), atMicros);
    machine.failures().recordFailure(job.id(), false);
  }

  /**
   * Guards against releasing healthy machines, which happened without {@code
   * QuarantineTimer.MAX_RETRY_WAIT_MICROS}: a job whose tasks take 20 s to fail cannot have failed
   * elsewhere within 8 s.
   */
  @Test
  void aQuarantinedMachineIsKeptWhileItsJobsAreRetriedElsewhere() {
    Machine machine = machine("m1");
    recordFailure(machine, job("req-1"), SECOND);
    recordFailure(machine, job("req-2"), SECOND);
    machine.failures().quarantine(SECOND);
    runRounds(2 * SECOND, 58 * SECOND);
    assertEquals(MachinePhase.UP, machine.phase());
    runRounds(59 * SECOND, 65 * SECOND);
    assertEquals(MachinePhase.TERMINATING, machine.phase(), "not forever");
  }

  @Test
  void aQuarantinedMachineIsReleasedOnceItsJobsCompleteElsewhere() {
    Machine machine = machine("m1");
    List<Job> jobs = List.of(job("req-1"), job("req-2"));
    jobs.forEach(job -> recordFailure(machine, job, SECOND));
    machine.failures().quarantine(SECOND);
    jobs.forEach(job -> clusterState.markDone(job, 0));
    runRounds(2 * SECOND, 12 * SECOND);
    assertEquals(MachinePhase.TERMINATING, machine.phase());
  }

  /**
   * Guards against a quarantined machine that neither receives tasks nor is released, because a
   * replica that never ends runs there.
   */
  @Test
  void aQuarantinedMachineWithAReplicaIsUsedAgainAfterAWhile() {
    Machine machine = machine("m1");
    Job service = cluster.submitted(JobSpecBuilder.service("req-9").build());
    cluster.bind(service, 0, machine, TaskPhase.RUNNING, 0);
    List<Job> jobs = List.of(job("req-1"), job("req-2"));
    jobs.forEach(job -> recordFailure(machine, job, SECOND));
    machine.failures().quarantine(SECOND);
    jobs.forEach(job -> clusterState.markDone(job, 0));
    runRounds(2 * SECOND, 40 * SECOND);
    assertEquals(MachinePhase.DRAINING, machine.phase());
    runRounds(41 * SECOND, 42 * SECOND);
    assertEquals(MachinePhase.UP, machine.phase());
    assertTrue(machine.schedulable(), "on probation");
    cluster.bind(job("req-3"), 0, machine, TaskPhase.RUNNING, 43 * SECOND);
    assertFalse(machine.schedulable(), "one new task at a time");
    runRounds(43 * SECOND, 68 * SECOND);
    assertTrue(machine.schedulable(), "the probation ends, though the new task runs on");
  }
}
