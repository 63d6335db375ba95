package org.dewreach.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.Codec;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.Heartbeat.Cause;
import org.dewreach.wire.Heartbeat.TaskState;
import org.dewreach.wire.Heartbeat.TaskStatus;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.Priority;
import org.dewreach.wire.TaskName;
import org.junit.jupiter.api.Test;

/** What a report proves, and what it does not. */
class HeartbeatReconcilerTest {
  private static final long TERM = 90;
  private static final long S = 1_000_000;
  private static final MachineType TYPE =
      new MachineType("box", 8, 0, 32, 50, 1, 1, 0.3, 5 * S, List.of("a"));

  private final ClusterState clusterState =
      new ClusterState(
          TERM, Map.of("red", new Settings.Team("red", 10, 100, 0, 0)), Tuning.DEFAULT);
  private final HeartbeatReconciler desk = new HeartbeatReconciler(TERM, clusterState);
  private final Job job =
      new Job(
          new JobSpec(
              "req-000001",
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
              -1),
          0,
          false,
          JobPhase.ACTIVE);

  private Machine machine(String name, MachinePhase phase) {
    Machine machine = new Machine(name, "", TYPE, "a", false, phase, 0);
    machine.recorded(true);
    clusterState.add(machine);
    clusterState.jobs().put(job.id(), job);
    return machine;
  }

  private static Heartbeat report(
      Machine machine, long incarnation, long sequence, long token, TaskStatus... tasks) {
    return new Heartbeat(
        machine.name(), "x:1", "box", "a", false, incarnation, sequence, token, -1, List.of(tasks));
  }

  private TaskStatus shown(int index, TaskState state, Cause cause) {
    return new TaskStatus(new TaskName(job.id(), index), 7, state, cause);
  }

  /** Guards against a copy that binds a task where it no longer is, so that it is stopped. */
  @Test
  void aReportOfAnEarlierTermBindsNothing() {
    Machine machine = machine("m1", MachinePhase.UNKNOWN);
    desk.take(machine, report(machine, 1, 5, 60, shown(0, TaskState.RUNNING, Cause.NONE)), true, S);
    assertEquals(0, job.bound().size());
    assertEquals(MachinePhase.UNCONFIRMED, machine.phase());
    assertFalse(machine.reconciled());
    desk.take(
        machine, report(machine, 1, 9, TERM, shown(0, TaskState.RUNNING, Cause.NONE)), true, 2 * S);
    assertEquals(1, job.bound().size(), "now it is surely there");
    assertEquals(MachinePhase.UP, machine.phase());
  }

  /** What was completed stays completed, however old the report is. */
  @Test
  void aReportOfAnEarlierTermTellsOfCompletedTasks() {
    Machine machine = machine("m1", MachinePhase.UNKNOWN);
    desk.take(machine, report(machine, 1, 5, 60, shown(2, TaskState.EXITED, Cause.DONE)), true, S);
    assertTrue(job.done().get(2));
  }

  /** Guards against a ghost: the first report of a machine that was returned long ago. */
  @Test
  void aMachineThatNobodyExpectedHasToProveItself() {
    Machine machine = machine("ghost", MachinePhase.BOOTING);
    machine.requireToken();
    desk.take(machine, report(machine, 1, 1, 0), true, S);
    assertFalse(machine.schedulable());
    desk.take(machine, report(machine, 1, 2, TERM), true, 2 * S);
    assertTrue(machine.schedulable());
  }

  /** Guards against placing tasks again and again where no command arrives. */
  @Test
  void aMachineThatTakesNoAnswersIsGivenNothingNew() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    desk.take(machine, report(machine, 1, 1, 0), true, S);
    desk.take(machine, report(machine, 1, 2, TERM), true, 2 * S);
    clusterState.bind(job, 0, clusterState.nextAttempt(), machine, TaskPhase.ASSIGNED, 3 * S);
    desk.take(machine, report(machine, 1, 3, TERM), true, 4 * S);
    assertEquals(TaskPhase.STARTING, job.bound().get(0).phase());
    desk.take(machine, report(machine, 1, 4, TERM), true, 9 * S);
    assertTrue(machine.schedulable(), "once may be chance");
    desk.take(machine, report(machine, 1, 5, TERM), true, 14 * S);
    assertTrue(machine.missesReplies());
    assertFalse(machine.schedulable());
    assertEquals(1, job.bound().size(), "the start may still come, so the task stays bound");
    desk.take(machine, report(machine, 2, 1, TERM), true, 20 * S);
    assertEquals(0, job.bound().size(), "its session is over, and all that was in it");
  }

  /**
   * Guards against a task that runs twice, seed 1012 of the drawn days: the answer to a direct
   * command passes the response with the start on its way, and lacks the task.
   */
  @Test
  void theAnswerToADirectCommandDoesNotProveThatAStartWasLost() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    desk.take(machine, report(machine, 1, 1, 0), true, S);
    clusterState.bind(job, 0, clusterState.nextAttempt(), machine, TaskPhase.ASSIGNED, 2 * S);
    desk.take(machine, report(machine, 1, 2, TERM), true, 3 * S);
    clusterState.stop(job.bound().get(0), "not wanted", 3 * S);
    desk.take(machine, report(machine, 1, 3, TERM), false, 3 * S + 1);
    assertEquals(1, job.bound().size(), "the response with its start may still arrive");
    desk.take(machine, report(machine, 1, 4, TERM), true, 4 * S);
    assertEquals(0, job.bound().size(), "this report was sent after that response");
  }

  /** A start that was sent since the report before may have passed this report on its way. */
  @Test
  void aStartSentMeanwhileSaysNothing() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    desk.take(machine, report(machine, 1, 1, 0), true, S);
    for (int i = 0; i < 4; i++) {
      clusterState
          .bind(job, i, clusterState.nextAttempt(), machine, TaskPhase.ASSIGNED, (2 + i) * S)
          .become(TaskPhase.STARTING, (2 + i) * S);
      desk.take(machine, report(machine, 1, 2 + i, TERM, started(i)), true, (2 + i) * S + 1);
    }
    assertFalse(machine.missesReplies());
  }

  /** Guards against a response that outgrows its limit when a machine shows a thousand strays. */
  @Test
  void aReportAtTheSizeLimitIsAnsweredWithinIt() throws Exception {
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
    ObjectNode response = desk.take(machine, Heartbeat.parse(body), true, S);
    assertTrue(response.path("orders").size() > 0);
    assertTrue(response.toString().length() < 64 * 1024, "bytes: " + response.toString().length());
    assertEquals(0, machine.tasks().size());
  }

  /** All tasks that were started before the given one. */
  private TaskStatus[] started(int before) {
    TaskStatus[] shown = new TaskStatus[before];
    for (int i = 0; i < before; i++) {
      shown[i] =
          new TaskStatus(
              new TaskName(job.id(), i),
              job.bound().get(i).attempt(),
              TaskState.PULLING,
              Cause.NONE);
    }
    return shown;
  }

  /** Guards against leases renewed by a new leader while what was cancelled runs on. */
  @Test
  void whatIsCancelledIsStoppedFromTheFirstHeartbeatOn() {
    Machine machine = machine("m1", MachinePhase.UNKNOWN);
    job.become(JobPhase.CANCEL_REQUESTED);
    job.become(JobPhase.CANCEL_COMMITTING);
    job.become(JobPhase.CANCELLED);
    ObjectNode answer =
        desk.take(
            machine, report(machine, 1, 5, 60, shown(0, TaskState.RUNNING, Cause.NONE)), true, S);
    assertEquals(1, answer.path("orders").size());
    assertEquals("halt", answer.path("orders").path(0).path("verb").asText());
    assertEquals(0, job.bound().size(), "the report may be old: it binds nothing");
  }

  /** Guards against a result that is lost with the leader while the end of its job is written. */
  @Test
  void aResultIsKeptUntilItIsDurable() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    desk.take(machine, report(machine, 1, 1, 0), true, S);
    for (int i = 0; i < 4; i++) {
      clusterState.markDone(job, i);
    }
    job.become(JobPhase.FINALIZING);
    TaskStatus done = shown(3, TaskState.EXITED, Cause.DONE);
    ObjectNode answer = desk.take(machine, report(machine, 1, 2, TERM, done), true, 2 * S);
    assertEquals(0, answer.path("orders").size(), "not cleared yet");
    clusterState.jobs().remove(job.id());
    answer = desk.take(machine, report(machine, 1, 3, TERM, done), true, 3 * S);
    assertEquals("clear", answer.path("orders").path(0).path("verb").asText());
  }

  /** Guards against a machine that is kept by answers to commands while it reaches nobody. */
  @Test
  void anAnswerToADirectCommandIsNoReport() {
    Machine machine = machine("m1", MachinePhase.BOOTING);
    desk.take(machine, report(machine, 1, 1, 0), true, S);
    desk.take(machine, report(machine, 1, 2, TERM), true, 2 * S);
    machine.markUnreachable();
    desk.take(machine, report(machine, 1, 3, TERM), false, 9 * S);
    assertEquals(2 * S, machine.lastHeartbeat());
    assertFalse(machine.schedulable());
    desk.take(machine, report(machine, 1, 4, TERM), true, 10 * S);
    assertTrue(machine.schedulable());
  }

  private Job other(String id) {
    JobSpec spec = job.spec();
    Job other =
        new Job(
            new JobSpec(
                id,
                spec.jobClass(),
                spec.team(),
                spec.jobKind(),
                spec.priority(),
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
                -1),
            0,
            false,
            JobPhase.ACTIVE);
    clusterState.jobs().put(id, other);
    return other;
  }

  /** Starts a task of the job there, which fails at once. */
  private void fail(Job failing, Machine machine, long atMicros) {
    int index = failing.nextPending();
    long attempt = clusterState.nextAttempt();
    clusterState.bind(failing, index, attempt, machine, TaskPhase.STARTING, atMicros);
    TaskStatus failed =
        new TaskStatus(new TaskName(failing.id(), index), attempt, TaskState.EXITED, Cause.ERROR);
    long next = machine.sequence() + 1;
    desk.take(machine, report(machine, 1, next, TERM, failed), true, atMicros);
  }

  /**
   * Guards against healthy machines given up because of jobs that were submitted with a mistake.
   */
  @Test
  void jobsThatFailEverywhereSayNothingAboutTheMachines() {
    List<Machine> machines =
        List.of(machine("m1", MachinePhase.BOOTING), machine("m2", MachinePhase.BOOTING));
    Job second = other("req-000002");
    fail(job, machines.get(0), S);
    fail(second, machines.get(0), S);
    assertTrue(machines.get(0).quarantined(), "two jobs failed there, and nowhere else yet");
    fail(job, machines.get(1), 3 * S);
    fail(second, machines.get(1), 4 * S);
    machines.forEach(each -> assertFalse(each.quarantined(), each.name()));
    for (int round = 1; round < 10; round++) {
      for (Machine each : machines) {
        fail(job, each, round * 65 * S);
        fail(second, each, round * 65 * S);
        assertFalse(each.quarantined(), each.name() + " in round " + round);
      }
    }
    assertTrue(job.notBefore() - 9 * 65 * S >= 60 * S, "it rests for as long as it ever does");
  }

  /**
   * Red without {@code HeartbeatReconciler.resume}: the machine stayed DRAINING until the term
   * ended.
   */
  @Test
  void aMachineClearedWhileItDrainsIsUsedAgain() {
    Machine drained = machine("m1", MachinePhase.BOOTING);
    Machine elsewhere = machine("m2", MachinePhase.BOOTING);
    Job second = other("req-000002");
    fail(job, drained, S);
    fail(second, drained, S);
    assertTrue(drained.quarantined());
    drained.become(MachinePhase.DRAINING, 10 * S);
    fail(job, elsewhere, 25 * S);
    assertEquals(MachinePhase.UP, drained.phase());
    assertTrue(drained.schedulable());
  }

  /** A machine that is to be taken is given nothing, whatever becomes of the jobs. */
  @Test
  void aMachineToBeTakenDrainsOnOnceCleared() {
    Machine drained = machine("m1", MachinePhase.BOOTING);
    Machine elsewhere = machine("m2", MachinePhase.BOOTING);
    Job second = other("req-000002");
    fail(job, drained, S);
    fail(second, drained, S);
    drained.reclaimAt(40 * S);
    drained.become(MachinePhase.DRAINING, 10 * S);
    fail(job, elsewhere, 25 * S);
    assertEquals(MachinePhase.DRAINING, drained.phase());
  }

  /** A sick machine is found out although its jobs are new, and by jobs that complete elsewhere. */
  @Test
  void jobsThatCompleteElsewhereSpeakAgainstAMachine() {
    Machine sick = machine("m1", MachinePhase.BOOTING);
    Machine well = machine("m2", MachinePhase.BOOTING);
    fail(job, sick, S);
    desk.take(well, report(well, 1, 1, TERM, shown(3, TaskState.EXITED, Cause.DONE)), true, 2 * S);
    assertFalse(job.failsRepeatedly());
    fail(job, sick, 3 * S);
    fail(job, sick, 4 * S);
    assertTrue(sick.quarantined());
    assertFalse(well.quarantined());
  }
}
