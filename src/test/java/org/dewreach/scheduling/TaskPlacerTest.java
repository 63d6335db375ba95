package org.dewreach.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.placement.QueueOrder;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.Priority;
import org.dewreach.wire.TaskName;
import org.junit.jupiter.api.Test;

class TaskPlacerTest {
  private static final long S = 1_000_000;
  private static final Map<String, Settings.Team> TEAMS =
      Map.of("red", new Settings.Team("red", 4, 10, 0, 0));

  private final ClusterState clusterState = new ClusterState(90, TEAMS, Tuning.DEFAULT);
  private final TaskPlacer placer =
      new TaskPlacer(clusterState, new QueueOrder(TEAMS, List.of()), List.of(), Tuning.DEFAULT, 0);

  private Job job(String id, int tasks, boolean submittedThisTerm) {
    Job job =
        new Job(
            new JobSpec(
                id,
                "scan",
                "red",
                JobKind.ARRAY,
                Priority.NORMAL,
                tasks,
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
                -1),
            0,
            submittedThisTerm,
            JobPhase.ACTIVE);
    clusterState.jobs().put(id, job);
    return job;
  }

  private Machine box(String name, boolean spot) {
    MachineType type = new MachineType("box", 16, 0, 64, 50, 1, 1, 0.3, 5 * S, List.of("a"));
    Machine machine = new Machine(name, "", type, "a", spot, MachinePhase.BOOTING, 0);
    machine.recorded(true);
    machine.become(MachinePhase.UP, 0);
    clusterState.add(machine);
    return machine;
  }

  /** Guards against starting what may run on a machine that is not heard, and against its quota. */
  @Test
  void whatMayRunUnseenIsNotStartedAndCounts() {
    box("m1", true);
    Job unseen = job("req-1", 7, false);
    Job seen = job("req-2", 6, false);
    placer.pass(S, job -> job != unseen, 5 * S);
    assertEquals(0, unseen.bound().size());
    assertEquals(3, seen.bound().size(), "10 CPUs at most, of which 7 may be in use unseen");
    placer.pass(2 * S, job -> true, 5 * S);
    assertEquals(10, unseen.bound().size() + seen.bound().size());
  }

  /** Guards against a job that others always go before: it gets a first task after a while. */
  @Test
  void aJobThatWaitedTooLongBegins() {
    box("m1", true);
    Job large = job("req-1", 500, true);
    for (int i = 0; i < 8; i++) {
      job("req-1" + i, 1, true);
    }
    placer.pass(200 * S, job -> true, 5 * S);
    assertTrue(large.hasBound());
    assertEquals(1, large.bound().size(), "the others of this pass begin too");
  }

  /**
   * Guards against a task that may not return to a machine and keeps all like it away from there.
   */
  @Test
  void oneTaskThatIsBarredKeepsNoOtherAway() {
    Machine machine = box("m1", true);
    Job first = job("req-1", 3, true);
    job("req-2", 1, true);
    machine.directCommands().recordStart(new TaskName("req-1", 0), 7);
    placer.pass(S, job -> true, 5 * S);
    assertEquals(Set.of(1, 2), Set.copyOf(first.bound().keySet()));
    assertTrue(clusterState.jobs().get("req-2").hasBound());
  }

  /** Guards against a job that waits for ever beside room that is kept for services. */
  @Test
  void aJobThatWaitedGetsCapacityKeptForServices() {
    box("m1", false);
    JobSpec service =
        new JobSpec(
            "req-9",
            "live",
            "red",
            JobKind.SERVICE,
            Priority.HIGH,
            1,
            8,
            0,
            1,
            "img",
            1,
            null,
            null,
            false,
            false,
            false,
            0,
            0,
            0,
            -1);
    for (int i = 0; i < 100; i++) {
      clusterState.services().arrived(service, S);
    }
    Job job = job("req-1", 4, true);
    placer.pass(30 * S, each -> true, 60 * S);
    assertEquals(0, job.bound().size());
    placer.pass(61 * S, each -> true, 60 * S);
    assertEquals(1, job.bound().size(), "a first task, no more");
  }

  /** Guards against replicas that need each other's zone, lost when they are old, for ever. */
  @Test
  void replicasThatGoTogetherAreReplacedTogether() {
    box("m1", false);
    Job service =
        new Job(
            new JobSpec(
                "req-9",
                "live",
                "red",
                JobKind.SERVICE,
                Priority.HIGH,
                3,
                1,
                0,
                1,
                "img",
                1,
                null,
                null,
                true,
                false,
                false,
                0,
                0,
                0,
                -1),
            0,
            true,
            JobPhase.ACTIVE);
    clusterState.jobs().put("req-9", service);
    placer.pass(700 * S, each -> true, 5 * S);
    assertEquals(3, service.bound().size());
  }

  /** Guards against a job that waits beside the only machine, where a task of it failed once. */
  @Test
  void aSuspectIsForgivenAfterAWhile() {
    box("m1", true);
    Job job = job("req-1", 1, true);
    job.backoff().recordFailure("m1", S);
    placer.pass(30 * S, each -> true, 5 * S);
    assertEquals(0, job.bound().size());
    placer.pass(62 * S, each -> true, 5 * S);
    assertEquals(1, job.bound().size());
  }

  /** Guards against a job that fails everywhere holding room, or having machines rented for it. */
  @Test
  void aJobThatFailsEverywhereIsTriedWithOneTask() {
    box("m1", true);
    Job job = job("req-1", 50, true);
    job.backoff().recordFailure("m8", S);
    placer.pass(2 * S, each -> true, 5 * S);
    assertEquals(10, job.bound().size(), "one machine says little");
    List.copyOf(job.bound().values()).forEach(task -> clusterState.unbind(task, "test", 3 * S));
    job.backoff().recordFailure("m9", 3 * S);
    assertEquals(List.of(), placer.pass(4 * S, each -> true, 5 * S));
    assertEquals(0, job.bound().size(), "it rests");
    assertEquals(List.of(), placer.pass(6 * S, each -> true, 5 * S));
    assertEquals(1, job.bound().size());
    // Guards against one more task in each pass while the first has not failed yet.
    assertEquals(List.of(), placer.pass(6_500_000, each -> true, 5 * S));
    assertEquals(1, job.bound().size(), "one at a time");
    clusterState.markDone(job, 7);
    placer.pass(7 * S, each -> true, 5 * S);
    assertEquals(10, job.bound().size(), "it got somewhere");
  }

  /** Guards against long tasks that wait for each other, since two faulty machines were met. */
  @Test
  void aTaskThatRunsOnDoesNotKeepADoubtfulJobFromTheNext() {
    box("m1", true);
    Job job = job("req-1", 50, true);
    job.backoff().recordFailure("m8", S);
    job.backoff().recordFailure("m9", S);
    placer.pass(5 * S, each -> true, 5 * S);
    assertEquals(1, job.bound().size());
    placer.pass(34 * S, each -> true, 5 * S);
    assertEquals(1, job.bound().size(), "it may still fail");
    placer.pass(36 * S, each -> true, 5 * S);
    assertEquals(2, job.bound().size(), "it runs on");
  }
}
