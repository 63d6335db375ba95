package org.dewreach.scheduling;

import static org.dewreach.testing.ClusterFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.model.ExitedRecord;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.placement.QueueOrder;
import org.dewreach.state.ClusterState;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.TaskName;
import org.junit.jupiter.api.Test;

/** Tests which tasks one placement pass places: {@link TaskPlacer}. */
class TaskPlacerTest {
  private static final MachineType BOX = ClusterFixture.type("box", 16, 64, 0);
  private static final Map<String, Settings.Team> TEAMS = ClusterFixture.teams(4, 10);

  private final ClusterFixture cluster = new ClusterFixture(TEAMS);
  private final ClusterState clusterState = cluster.state();
  private final TaskPlacer placer =
      new TaskPlacer(clusterState, new QueueOrder(TEAMS, List.of()), List.of(), Tuning.DEFAULT, 0);

  private Job submitted(String id, int tasks) {
    return cluster.submitted(JobSpecBuilder.array(id).tasks(tasks).build());
  }

  private Job loaded(String id, int tasks) {
    return cluster.loaded(JobSpecBuilder.array(id).tasks(tasks).build());
  }

  private Machine box(String name, boolean spot) {
    return cluster.add(ClusterFixture.newUpMachine(name, BOX, spot));
  }

  /**
   * Guards against starting tasks that may already run on a machine that sends no heartbeats, and
   * against exceeding the quota.
   */
  @Test
  void unreconciledJobsAreNotStartedAndCountAgainstTheQuota() {
    box("m1", true);
    Job unreconciled = loaded("req-1", 7);
    Job reconciled = loaded("req-2", 6);
    placer.placeTasks(SECOND, job -> job != unreconciled, 5 * SECOND);
    assertEquals(0, unreconciled.boundTasks().size());
    assertEquals(
        3,
        reconciled.boundTasks().size(),
        "the quota is 10 CPUs, of which unreconciled tasks may use 7");
    placer.placeTasks(2 * SECOND, job -> true, 5 * SECOND);
    assertEquals(10, unreconciled.boundTasks().size() + reconciled.boundTasks().size());
  }

  /**
   * Guards against a job that always has others ahead of it: it gets a first task after a while.
   */
  @Test
  void aStarvedJobGetsItsFirstTask() {
    box("m1", true);
    Job large = submitted("req-1", 500);
    for (int i = 0; i < 8; i++) {
      submitted("req-1" + i, 1);
    }
    placer.placeTasks(200 * SECOND, job -> true, 5 * SECOND);
    assertTrue(large.hasBoundTasks());
    assertEquals(1, large.boundTasks().size(), "the other jobs of this pass start too");
  }

  /**
   * Guards against a late copy of a direct start: a task that was started directly on the only
   * machine with room is placed there again, as the same attempt only.
   */
  @Test
  void aTaskReturnsToAMachineWhereItWasStartedDirectlyAsTheSameAttempt() {
    Machine machine = box("m1", true);
    Job first = submitted("req-1", 3);
    submitted("req-2", 1);
    machine.directCommands().recordStart(new TaskName("req-1", 0), 7);
    placer.placeTasks(SECOND, job -> true, 5 * SECOND);
    assertEquals(Set.of(0, 1, 2), Set.copyOf(first.boundTasks().keySet()));
    assertEquals(7, first.boundTasks().get(0).attempt());
    assertEquals(ExitedRecord.KEPT, first.boundTasks().get(0).exitedRecord());
    assertEquals(ExitedRecord.NONE, first.boundTasks().get(1).exitedRecord());
    assertTrue(clusterState.jobs().get("req-2").hasBoundTasks());
  }

  /** A task starts sooner where it was not started before, wherever that is in the list. */
  @Test
  void aMachineWhereTheTaskWasNotStartedDirectlyIsPreferred() {
    Machine first = box("m1", true);
    Machine second = box("m2", true);
    Job job = submitted("req-1", 1);
    first.directCommands().recordStart(new TaskName("req-1", 0), 7);
    placer.placeTasks(SECOND, each -> true, 5 * SECOND);
    assertEquals(second, job.boundTasks().get(0).machine());
  }

  /**
   * The tasks of a gang find each other by a new attempt, so none of them may run as an old one.
   */
  @Test
  void aGangDoesNotReturnWhereATaskOfItWasStartedDirectly() {
    Machine machine = box("m1", true);
    Job gang = cluster.submitted(JobSpecBuilder.gang("req-1").tasks(2).build());
    machine.directCommands().recordStart(new TaskName("req-1", 0), 7);
    placer.placeTasks(SECOND, each -> true, 5 * SECOND);
    assertEquals(0, gang.boundTasks().size());
  }

  private void recordManyServiceArrivals() {
    JobSpec service = JobSpecBuilder.service("req-9").cpus(8).build();
    for (int i = 0; i < 100; i++) {
      clusterState.serviceArrivalRate().recordArrival(service, SECOND);
    }
  }

  /** Guards against a job that waits forever although it fits into the headroom for services. */
  @Test
  void aLongWaitingJobGetsItsFirstTaskFromTheServiceHeadroom() {
    box("m1", false);
    recordManyServiceArrivals();
    Job job = submitted("req-1", 4);
    placer.placeTasks(30 * SECOND, each -> true, 60 * SECOND);
    assertEquals(0, job.boundTasks().size());
    placer.placeTasks(61 * SECOND, each -> true, 60 * SECOND);
    assertEquals(1, job.boundTasks().size(), "only the first task");
  }

  /** Guards against the rest of an array that waits forever beside the headroom for services. */
  @Test
  void theRestOfAnArrayIsPlacedInTheServiceHeadroomOneTaskAtATime() {
    box("m1", false);
    recordManyServiceArrivals();
    Job job = submitted("req-1", 4);
    placer.placeTasks(61 * SECOND, each -> true, 60 * SECOND);
    clusterState.unbind(job.boundTasks().get(0), "test", 66 * SECOND);
    clusterState.markDone(job, 0);
    placer.placeTasks(120 * SECOND, each -> true, 60 * SECOND);
    assertEquals(0, job.boundTasks().size(), "a task was placed within a minute");
    placer.placeTasks(122 * SECOND, each -> true, 60 * SECOND);
    assertEquals(Set.of(1), Set.copyOf(job.boundTasks().keySet()));
    placer.placeTasks(183 * SECOND, each -> true, 60 * SECOND);
    assertEquals(2, job.boundTasks().size(), "also beside a task that runs long");
  }

  /**
   * Guards against replicas that must share a zone and are never replaced once the service loses
   * them long after its acceptance.
   */
  @Test
  void sameZoneReplicasAreReplacedTogether() {
    box("m1", false);
    Job service =
        cluster.submitted(JobSpecBuilder.service("req-9").tasks(3).sameZone(true).build());
    placer.placeTasks(700 * SECOND, each -> true, 5 * SECOND);
    assertEquals(3, service.boundTasks().size());
  }

  /**
   * Guards against a job that waits forever because a task of it failed once on the only machine.
   */
  @Test
  void aJobMayReturnToAMachineAfterItsFailureBackoff() {
    box("m1", true);
    Job job = submitted("req-1", 1);
    job.backoff().recordFailure("m1", SECOND);
    placer.placeTasks(30 * SECOND, each -> true, 5 * SECOND);
    assertEquals(0, job.boundTasks().size());
    placer.placeTasks(62 * SECOND, each -> true, 5 * SECOND);
    assertEquals(1, job.boundTasks().size());
  }

  /**
   * Guards against a job that fails everywhere but holds capacity or has machines rented for it.
   */
  @Test
  void aRepeatedlyFailingJobRunsOneTaskAtATime() {
    box("m1", true);
    Job job = submitted("req-1", 50);
    job.backoff().recordFailure("m8", SECOND);
    placer.placeTasks(2 * SECOND, each -> true, 5 * SECOND);
    assertEquals(10, job.boundTasks().size(), "failures on one machine do not limit the job");
    List.copyOf(job.boundTasks().values())
        .forEach(task -> clusterState.unbind(task, "test", 3 * SECOND));
    job.backoff().recordFailure("m9", 3 * SECOND);
    assertEquals(List.of(), placer.placeTasks(4 * SECOND, each -> true, 5 * SECOND));
    assertEquals(0, job.boundTasks().size(), "the job backs off");
    assertEquals(List.of(), placer.placeTasks(6 * SECOND, each -> true, 5 * SECOND));
    assertEquals(1, job.boundTasks().size());
    // Guards against one more task in each pass while the first has not failed yet.
    assertEquals(List.of(), placer.placeTasks(6_500_000, each -> true, 5 * SECOND));
    assertEquals(1, job.boundTasks().size(), "one at a time");
    clusterState.markDone(job, 7);
    placer.placeTasks(7 * SECOND, each -> true, 5 * SECOND);
    assertEquals(10, job.boundTasks().size(), "a completed task ends the limit");
  }

  /**
   * Guards against long tasks that run one after the other because the job failed on two faulty
   * machines.
   */
  @Test
  void aProbeTaskThatKeepsRunningLetsAFailingJobStartTheNext() {
    box("m1", true);
    Job job = submitted("req-1", 50);
    job.backoff().recordFailure("m8", SECOND);
    job.backoff().recordFailure("m9", SECOND);
    placer.placeTasks(5 * SECOND, each -> true, 5 * SECOND);
    assertEquals(1, job.boundTasks().size());
    placer.placeTasks(34 * SECOND, each -> true, 5 * SECOND);
    assertEquals(1, job.boundTasks().size(), "the probe task may still fail");
    placer.placeTasks(36 * SECOND, each -> true, 5 * SECOND);
    assertEquals(2, job.boundTasks().size(), "the probe task keeps running");
  }

  /** Guards against a job that waits beside the machines on which it failed. */
  @Test
  void aRepeatedlyFailingJobReturnsToWhereItFailedIfThereIsNoOtherRoom() {
    box("m1", true);
    Job job = submitted("req-1", 1);
    job.backoff().recordFailure("m9", SECOND);
    job.backoff().recordFailure("m1", SECOND);
    assertEquals(List.of(), placer.placeTasks(2 * SECOND, each -> true, 5 * SECOND));
    assertEquals(0, job.boundTasks().size(), "the job backs off");
    assertEquals(List.of(), placer.placeTasks(4 * SECOND, each -> true, 5 * SECOND));
    assertEquals(1, job.boundTasks().size());
  }

  /** Guards against a job that fails repeatedly and waits beside a cordoned machine. */
  @Test
  void aRepeatedlyFailingJobEndsTheCordonOfAMachineWithRoom() {
    Machine full = box("m1", true);
    Machine cordoned = box("m2", true);
    submitted("req-2", 8);
    placer.placeTasks(SECOND, each -> true, 5 * SECOND);
    assertEquals(8, full.freeCpus());
    cordoned.cordoned(true);
    Job job = cluster.submitted(JobSpecBuilder.array("req-1").cpus(1).resources(1, 60, 0).build());
    job.backoff().recordFailure("m8", SECOND);
    job.backoff().recordFailure("m9", SECOND);
    assertEquals(List.of(), placer.placeTasks(4 * SECOND, each -> true, 5 * SECOND));
    assertTrue(cordoned.schedulable(), "the cordon ended");
    placer.placeTasks(5 * SECOND, each -> true, 5 * SECOND);
    assertEquals(cordoned, job.boundTasks().get(0).machine());
  }

  /**
   * Guards against a service that faulty machines made look doubtful, and that waits forever
   * because no machine may run it.
   */
  @Test
  void capacityIsRequestedRarelyForARepeatedlyFailingJobThatNoMachineMayRun() {
    box("m1", true);
    Job job = submitted("req-1", 1);
    job.backoff().recordFailure("m9", SECOND);
    job.backoff().recordFailure("m8", SECOND);
    job.backoff().avoidMachine("m1", 1_000 * SECOND);
    assertEquals(List.of(), placer.placeTasks(2 * SECOND, each -> true, 5 * SECOND));
    assertEquals(List.of(), placer.placeTasks(4 * SECOND, each -> true, 5 * SECOND));
    assertEquals(List.of(), placer.placeTasks(18 * SECOND, each -> true, 5 * SECOND));
    List<UnplacedTasks> unplaced = placer.placeTasks(19 * SECOND, each -> true, 5 * SECOND);
    assertEquals(List.of(new UnplacedTasks(job, 1)), unplaced);
    assertEquals(List.of(), placer.placeTasks(40 * SECOND, each -> true, 5 * SECOND));
    assertEquals(List.of(), placer.placeTasks(198 * SECOND, each -> true, 5 * SECOND));
    assertEquals(unplaced, placer.placeTasks(199 * SECOND, each -> true, 5 * SECOND));
    box("m2", true);
    assertEquals(List.of(), placer.placeTasks(200 * SECOND, each -> true, 5 * SECOND));
    assertEquals(1, job.boundTasks().size());
  }
}
