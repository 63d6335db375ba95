package org.dewreach.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.dewreach.cloud.CloudClient;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.controller.SettingsFixture;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.port.Outbox;
import org.dewreach.state.ClusterState;
import org.dewreach.state.MachineRegistry;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.KeyValueStore;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.Test;

/** When a machine that is taken for faulty is given up. */
class FleetManagerTest {
  private static final long S = 1_000_000;
  private static final MachineType TYPE =
      new MachineType("box", 8, 0, 32, 50, 1, 1, 0.3, 5 * S, List.of("a"));
  private static final Settings SETTINGS = SettingsFixture.twoNodes(10 * S);

  private final Outbox outbox = new Outbox();
  private final CloudClient cloud = new CloudClient(outbox, 100);
  private final ClusterState clusterState = new ClusterState(90, SETTINGS.teams(), Tuning.DEFAULT);
  private final MachineRegistry registry = new MachineRegistry(null, 8192, 0, null);
  private final FleetManager desk =
      new FleetManager(
          90,
          clusterState,
          registry,
          new LeaseDelegations(90, SETTINGS, () -> Long.MIN_VALUE),
          cloud,
          new MachineTypeCatalog(new KeyValueStore(outbox), cloud),
          SETTINGS,
          Tuning.DEFAULT,
          0,
          0);

  private Machine machine(String name) {
    Machine machine = new Machine(name, "", TYPE, "a", false, MachinePhase.BOOTING, 0);
    machine.recorded(true);
    machine.become(MachinePhase.UP, 0);
    clusterState.add(machine);
    return machine;
  }

  private Job job(String id) {
    JobSpec spec =
        new JobSpec(
            id,
            "scan",
            "red",
            JobKind.ARRAY,
            Priority.NORMAL,
            4,
            1,
            0,
            1,
            "img",
            1,
            null,
            null,
            false,
            false,
            true,
            10 * S,
            0,
            0,
            -1);
    Job job = new Job(spec, 0, true, JobPhase.ACTIVE);
    clusterState.jobs().put(id, job);
    return job;
  }

  /** Each machine reports, and the desk has its round, each second. */
  private void play(long fromMicros, long untilMicros) {
    for (long at = fromMicros; at <= untilMicros; at += S) {
      long now = at;
      clusterState
          .machines()
          .values()
          .forEach(machine -> machine.heartbeats().recordHeartbeat(now));
      desk.tick(now, List.of(), false);
    }
  }

  private void failed(Machine machine, Job job, long atMicros) {
    job.backoff().recordFailure(machine.name(), atMicros);
    machine.failures().recordFailure(job.id());
  }

  /**
   * Red without {@code MachineDrainer.MAX_QUARANTINE_MICROS}: a job whose tasks take 20 s to fail
   * cannot have failed elsewhere within 8 s, and the healthy machine was returned.
   */
  @Test
  void aMachineIsKeptWhileItsJobsAreTriedElsewhere() {
    Machine machine = machine("m1");
    failed(machine, job("req-1"), S);
    failed(machine, job("req-2"), S);
    machine.failures().quarantine(S);
    play(2 * S, 58 * S);
    assertEquals(MachinePhase.UP, machine.phase());
    play(59 * S, 65 * S);
    assertEquals(MachinePhase.TERMINATING, machine.phase(), "not for ever");
  }

  @Test
  void aMachineIsReturnedSoonOnceItsJobsCompleteElsewhere() {
    Machine machine = machine("m1");
    List<Job> jobs = List.of(job("req-1"), job("req-2"));
    jobs.forEach(job -> failed(machine, job, S));
    machine.failures().quarantine(S);
    jobs.forEach(job -> clusterState.markDone(job, 0));
    play(2 * S, 12 * S);
    assertEquals(MachinePhase.TERMINATING, machine.phase());
  }
}
