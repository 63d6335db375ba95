package org.dewreach.heartbeat;

import static org.dewreach.testing.ClusterFixture.SECOND;
import static org.dewreach.testing.ClusterFixture.TERM;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.Codec;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.Heartbeat.ExitCause;
import org.dewreach.wire.Heartbeat.TaskState;
import org.dewreach.wire.Heartbeat.TaskStatus;
import org.dewreach.wire.HeartbeatResponse;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.TaskName;
import org.dewreach.wire.WorkerCommand;
import org.junit.jupiter.api.Test;

/** Tests what is concluded from heartbeats, fresh and stale: {@link HeartbeatReconciler}. */
class HeartbeatReconcilerTest {
  private static final MachineType TYPE = ClusterFixture.type("box", 8, 32, 0);

  private final ClusterFixture cluster = new ClusterFixture(10, 100);
  private final ClusterState clusterState = cluster.state();
  private final HeartbeatReconciler reconciler = new HeartbeatReconciler(TERM, clusterState);
  private final Job job = cluster.loaded(JobSpecBuilder.array("req-000001").tasks(4).build());

  private Machine machine(String name, MachinePhase phase) {
    return cluster.add(ClusterFixture.newMachine(name, TYPE, false, phase));
  }

  private static Heartbeat heartbeat(
      Machine machine, long incarnation, long sequence, long token, TaskStatus... tasks) {
    return new Heartbeat(
        machine.name(), "x:1", "box", "a", false, incarnation, sequence, token, -1, List.of(tasks));
  }

  private TaskStatus reported(int index, TaskState state, ExitCause cause) {
    return new TaskStatus(new TaskName(job.id(), index), 7, state, cause);
  }

  /**
   * Guards against a late copy that binds a task to a machine where it no longer runs, so that it
   * is stopped where it does run.
   */
  @Test
  void aHeartbeatWithATokenOfAnEarlierTermBindsNothing() {
    Machine machine = machine("m1", MachinePhase.UNKNOWN);
    reconciler.onHeartbeat(
        machine,
        heartbeat(machine, 1, 5, 60, reported(0, TaskState.RUNNING, ExitCause.NONE)),
        SECOND);
    assertEquals(0, job.boundTasks().size());
    assertEquals(MachinePhase.UNCONFIRMED, machine.phase());
    assertFalse(machine.reconciled());
    reconciler.onHeartbeat(
        machine,
        heartbeat(machine, 1, 9, TERM, reported(0, TaskState.RUNNING, ExitCause.NONE)),
        2 * SECOND);
    assertEquals(
        1, job.boundTasks().size(), "the report with the current token shows where it runs");
    assertEquals(MachinePhase.UP, machine.phase());
  }

  /** A completed task stays completed, however old the report is. */
  @Test
  void aHeartbeatWithATokenOfAnEarlierTermProvesCompletedTasks() {
    Machine machine = machine("m1", MachinePhase.UNKNOWN);
    reconciler.onHeartbeat(
        machine,
        heartbeat(machine, 1, 5, 60, reported(2, TaskState.EXITED, ExitCause.DONE)),
        SECOND);
    assertTrue(job.doneTasks().get(2));
  }

  /** Guards against a late copy of the first heartbeat of a machine that was released long ago. */
  @Test
  void anUnexpectedMachineIsSchedulableOnceItReportsTheCurrentToken() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    machine.requireToken();
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 1, 0), SECOND);
    assertFalse(machine.schedulable());
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 2, TERM), 2 * SECOND);
    assertTrue(machine.schedulable());
  }

  /** Guards against placing tasks repeatedly on a machine that receives no commands. */
  @Test
  void aMachineThatReceivesNoResponsesReceivesNoNewTasks() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 1, 0), SECOND);
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 2, TERM), 2 * SECOND);
    cluster.bind(job, 0, machine, TaskPhase.ASSIGNED, 3 * SECOND);
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 3, TERM), 4 * SECOND);
    assertEquals(TaskPhase.STARTING, job.boundTasks().get(0).phase());
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 4, TERM), 9 * SECOND);
    assertTrue(machine.schedulable(), "a single missing start may be chance");
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 5, TERM), 14 * SECOND);
    assertTrue(machine.heartbeats().missesResponses());
    assertFalse(machine.schedulable());
    assertEquals(1, job.boundTasks().size(), "the start may still arrive, so the task stays bound");
    reconciler.onHeartbeat(machine, heartbeat(machine, 2, 1, TERM), 20 * SECOND);
    assertEquals(0, job.boundTasks().size(), "the incarnation has ended, with all its tasks");
  }

  /**
   * Guards against a task that runs twice, found with seed 1012 of the random simulations: the
   * reply to a direct command overtakes the heartbeat response that carries the start, and does not
   * contain the task.
   */
  @Test
  void theResponseToADirectCommandDoesNotProveThatAStartWasLost() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 1, 0), SECOND);
    cluster.bind(job, 0, machine, TaskPhase.ASSIGNED, 2 * SECOND);
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 2, TERM), 3 * SECOND);
    clusterState.stop(job.boundTasks().get(0), "not wanted", 3 * SECOND);
    reconciler.onDirectReply(machine, heartbeat(machine, 1, 3, TERM), 3 * SECOND + 1);
    assertEquals(1, job.boundTasks().size(), "the response with the start may still arrive");
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 4, TERM), 4 * SECOND);
    assertEquals(
        0, job.boundTasks().size(), "the heartbeat was sent after the response with the start");
  }

  /** A start sent since the previous heartbeat may have crossed this heartbeat on its way. */
  @Test
  void aStartSentSinceThePreviousHeartbeatIsNotMissingYet() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 1, 0), SECOND);
    for (int i = 0; i < 4; i++) {
      cluster
          .bind(job, i, machine, TaskPhase.ASSIGNED, (2 + i) * SECOND)
          .changePhase(TaskPhase.STARTING, (2 + i) * SECOND);
      reconciler.onHeartbeat(
          machine, heartbeat(machine, 1, 2 + i, TERM, started(i)), (2 + i) * SECOND + 1);
    }
    assertFalse(machine.heartbeats().missesResponses());
  }

  /**
   * Guards against a response that exceeds its size limit when a machine reports a thousand unknown
   * tasks.
   */
  @Test
  void theResponseToAHeartbeatOfMaximumSizeIsWithinTheSizeLimit() throws Exception {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    ObjectNode body = Codec.map().put("host", "m1").put("address", "x:1").put("build", "box");
    body.put("site", "a").put("loaners", false).put("tenure", 1).put("tally", 1);
    body.put("warrant", TERM);
    ArrayNode pieces = body.putArray("pieces");
    int count = 0;
    while (body.toString().length() < 64 * 1024 - 100) {
      pieces
          .addObject()
          .put("piece", "req-" + (500_000 + ++count) + "/0")
          .put("try", 1)
          .put("standing", "running");
    }
    HeartbeatResponse response = reconciler.onHeartbeat(machine, Heartbeat.parse(body), SECOND);
    assertTrue(response.commands().size() > 0);
    int bytes = response.toNode().toString().length();
    assertTrue(bytes < 64 * 1024, "bytes: " + bytes);
    assertEquals(0, machine.tasks().size());
  }

  /** Returns the statuses of all tasks that were started before the given one. */
  private TaskStatus[] started(int before) {
    TaskStatus[] statuses = new TaskStatus[before];
    for (int i = 0; i < before; i++) {
      statuses[i] =
          new TaskStatus(
              new TaskName(job.id(), i),
              job.boundTasks().get(i).attempt(),
              TaskState.PULLING,
              ExitCause.NONE);
    }
    return statuses;
  }

  /** Guards against a new leader that renews leases while tasks of a cancelled job keep running. */
  @Test
  void tasksOfACancelledJobAreStoppedFromTheFirstHeartbeatOn() {
    Machine machine = machine("m1", MachinePhase.UNKNOWN);
    job.changePhase(JobPhase.CANCEL_REQUESTED);
    job.changePhase(JobPhase.CANCEL_COMMITTING);
    job.changePhase(JobPhase.CANCELLED);
    HeartbeatResponse response =
        reconciler.onHeartbeat(
            machine,
            heartbeat(machine, 1, 5, 60, reported(0, TaskState.RUNNING, ExitCause.NONE)),
            SECOND);
    assertEquals(
        List.of(new WorkerCommand.Stop(new TaskName(job.id(), 0), 7, 0)), response.commands());
    assertEquals(0, job.boundTasks().size(), "the heartbeat may be old: it binds nothing");
  }

  /**
   * Guards against a result that is lost with the leader while the completion of its job is
   * written.
   */
  @Test
  void aResultStaysReportedUntilItIsDurable() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 1, 0), SECOND);
    for (int i = 0; i < 4; i++) {
      clusterState.markDone(job, i);
    }
    job.changePhase(JobPhase.FINALIZING);
    TaskStatus done = reported(3, TaskState.EXITED, ExitCause.DONE);
    HeartbeatResponse response =
        reconciler.onHeartbeat(machine, heartbeat(machine, 1, 2, TERM, done), 2 * SECOND);
    assertEquals(List.of(), response.commands(), "not removed yet");
    clusterState.removeJob(job);
    response = reconciler.onHeartbeat(machine, heartbeat(machine, 1, 3, TERM, done), 3 * SECOND);
    assertEquals(
        List.of(new WorkerCommand.Remove(new TaskName(job.id(), 3), 7)), response.commands());
  }

  /**
   * Guards against a machine that is kept because it replies to commands although its heartbeats
   * reach no controller.
   */
  @Test
  void theResponseToADirectCommandDoesNotCountAsAHeartbeat() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 1, 0), SECOND);
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 2, TERM), 2 * SECOND);
    machine.heartbeats().markUnreachable();
    reconciler.onDirectReply(machine, heartbeat(machine, 1, 3, TERM), 9 * SECOND);
    assertEquals(2 * SECOND, machine.heartbeats().lastHeartbeat());
    assertFalse(machine.schedulable());
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 4, TERM), 10 * SECOND);
    assertTrue(machine.schedulable());
  }

  /** Binds a task of the job to the machine and reports its failure. */
  private void fail(Job failing, Machine machine, long atMicros) {
    int index = failing.nextPending();
    long attempt = cluster.bind(failing, index, machine, TaskPhase.STARTING, atMicros).attempt();
    TaskStatus failed =
        new TaskStatus(
            new TaskName(failing.id(), index), attempt, TaskState.EXITED, ExitCause.ERROR);
    long next = machine.heartbeats().sequence() + 1;
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, next, TERM, failed), atMicros);
  }

  /** Guards against healthy machines that are released because of jobs submitted with an error. */
  @Test
  void jobsThatFailEverywhereQuarantineNoMachine() {
    List<Machine> machines =
        List.of(machine("m1", MachinePhase.BOOTING), machine("m2", MachinePhase.BOOTING));
    Job second = cluster.loaded(JobSpecBuilder.array("req-000002").tasks(4).build());
    fail(job, machines.get(0), SECOND);
    fail(second, machines.get(0), SECOND);
    assertTrue(machines.get(0).quarantined(), "two jobs failed there, and nowhere else yet");
    fail(job, machines.get(1), 3 * SECOND);
    fail(second, machines.get(1), 4 * SECOND);
    machines.forEach(each -> assertFalse(each.quarantined(), each.name()));
    for (int round = 1; round < 10; round++) {
      for (Machine each : machines) {
        fail(job, each, round * 65 * SECOND);
        fail(second, each, round * 65 * SECOND);
        assertFalse(each.quarantined(), each.name() + " in round " + round);
      }
    }
    assertTrue(job.backoff().notBefore() - 9 * 65 * SECOND >= 60 * SECOND, "the longest backoff");
  }

  /**
   * Guards against a machine that stays DRAINING until the term ends, which happened without {@code
   * ClusterState.resumePlacementOn}.
   */
  @Test
  void aMachineWhoseQuarantineEndsWhileItDrainsIsSchedulableAgain() {
    Machine drained = machine("m1", MachinePhase.BOOTING);
    Machine elsewhere = machine("m2", MachinePhase.BOOTING);
    Job second = cluster.loaded(JobSpecBuilder.array("req-000002").tasks(4).build());
    fail(job, drained, SECOND);
    fail(second, drained, SECOND);
    assertTrue(drained.quarantined());
    drained.changePhase(MachinePhase.DRAINING, 10 * SECOND);
    fail(job, elsewhere, 25 * SECOND);
    assertEquals(MachinePhase.UP, drained.phase());
    assertTrue(drained.schedulable());
  }

  /** Guards against a healthy machine that is barred for good by jobs that were cancelled since. */
  @Test
  void theFailuresOfACancelledJobAreNoEvidenceAgainstAMachine() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    Job second = cluster.loaded(JobSpecBuilder.array("req-000002").tasks(4).build());
    fail(job, machine, SECOND);
    fail(second, machine, SECOND);
    assertTrue(machine.quarantined());
    machine.changePhase(MachinePhase.DRAINING, 10 * SECOND);
    clusterState.withdrawFailures(second, "the job is cancelled", 70 * SECOND);
    assertFalse(machine.quarantined());
    assertTrue(machine.schedulable());
  }

  /** Guards against a faulty machine that receives tasks as before because its probation began. */
  @Test
  void aFailureDuringTheProbationQuarantinesAgain() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    Job second = cluster.loaded(JobSpecBuilder.array("req-000002").tasks(4).build());
    Job third = cluster.loaded(JobSpecBuilder.array("req-000003").tasks(4).build());
    fail(job, machine, SECOND);
    fail(second, machine, SECOND);
    machine.failures().beginProbation(46 * SECOND);
    assertTrue(machine.schedulable());
    cluster.bind(third, 0, machine, TaskPhase.STARTING, 47 * SECOND);
    assertFalse(machine.schedulable(), "one new task at a time");
    clusterState.unbind(third.boundTasks().get(0), "test", 47 * SECOND);
    assertTrue(machine.schedulable());
    fail(third, machine, 48 * SECOND);
    assertTrue(machine.quarantined());
  }

  /** A machine that is to be reclaimed receives no tasks, regardless of the jobs. */
  @Test
  void aMachineToBeReclaimedKeepsDrainingAfterItsQuarantine() {
    Machine drained = machine("m1", MachinePhase.BOOTING);
    Machine elsewhere = machine("m2", MachinePhase.BOOTING);
    Job second = cluster.loaded(JobSpecBuilder.array("req-000002").tasks(4).build());
    fail(job, drained, SECOND);
    fail(second, drained, SECOND);
    drained.reclaimAt(40 * SECOND);
    drained.changePhase(MachinePhase.DRAINING, 10 * SECOND);
    fail(job, elsewhere, 25 * SECOND);
    assertEquals(MachinePhase.DRAINING, drained.phase());
  }

  /** Guards against a faulty machine that is kept because only one job failed there. */
  @Test
  void aMachineIsQuarantinedForFailuresOfAJobThatCompletesElsewhere() {
    Machine faulty = machine("m1", MachinePhase.BOOTING);
    Machine healthy = machine("m2", MachinePhase.BOOTING);
    fail(job, faulty, SECOND);
    reconciler.onHeartbeat(
        healthy,
        heartbeat(healthy, 1, 1, TERM, reported(3, TaskState.EXITED, ExitCause.DONE)),
        2 * SECOND);
    assertFalse(job.backoff().failsRepeatedly());
    fail(job, faulty, 3 * SECOND);
    fail(job, faulty, 4 * SECOND);
    assertTrue(faulty.quarantined());
    assertFalse(healthy.quarantined());
  }
}
