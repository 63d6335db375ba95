package org.dewreach.heartbeat;

import static org.dewreach.testing.ClusterFixture.SECOND;
import static org.dewreach.testing.ClusterFixture.TERM;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.Heartbeat.ExitCause;
import org.dewreach.wire.Heartbeat.TaskState;
import org.dewreach.wire.Heartbeat.TaskStatus;
import org.dewreach.wire.HeartbeatResponse;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.TaskName;
import org.dewreach.wire.WorkerCommand;
import org.junit.jupiter.api.Test;

/**
 * Tests how a task returns to a machine where it was started directly before: {@link
 * TaskReconciler}.
 */
class ReturningTaskTest {
  private static final MachineType TYPE = ClusterFixture.type("box", 8, 32, 0);
  private static final long ATTEMPT = 7;

  private final ClusterFixture cluster = new ClusterFixture(10, 100);
  private final ClusterState clusterState = cluster.state();
  private final HeartbeatReconciler reconciler = new HeartbeatReconciler(TERM, clusterState);
  private final Job job = cluster.loaded(JobSpecBuilder.array("req-000001").tasks(4).build());
  private final TaskName task = new TaskName(job.id(), 0);
  private final TaskStatus running = reported(TaskState.RUNNING, ExitCause.NONE);
  private final TaskStatus stopped = reported(TaskState.EXITED, ExitCause.STOPPED);
  private final WorkerCommand start = new WorkerCommand.Start(task, ATTEMPT);
  private final WorkerCommand stop = new WorkerCommand.Stop(task, ATTEMPT, 0);
  private final WorkerCommand remove = new WorkerCommand.Remove(task, ATTEMPT);

  private static Heartbeat heartbeat(
      Machine machine, long sequence, long token, TaskStatus... tasks) {
    return new Heartbeat(
        machine.name(), "x:1", "box", "a", false, 1, sequence, token, -1, List.of(tasks));
  }

  private TaskStatus reported(TaskState state, ExitCause cause) {
    return new TaskStatus(task, ATTEMPT, state, cause);
  }

  /** Returns a machine with a task that is to run as an attempt that has exited there. */
  private Machine machineWithReturningTask() {
    Machine machine =
        cluster.add(ClusterFixture.newMachine("m1", TYPE, false, MachinePhase.BOOTING));
    reconciler.onHeartbeat(machine, heartbeat(machine, 1, 0), SECOND);
    machine.directCommands().recordStart(task, ATTEMPT);
    clusterState.bindAgain(job, 0, ATTEMPT, machine, SECOND);
    return machine;
  }

  private HeartbeatResponse heartbeatAt(Machine machine, long sequence, TaskStatus... tasks) {
    return reconciler.onHeartbeat(
        machine, heartbeat(machine, sequence, TERM, tasks), sequence * SECOND);
  }

  /**
   * Guards against a start that has no effect because the worker knows the attempt, and against an
   * exit of the earlier run that is taken for one of the new run.
   */
  @Test
  void aReturningTaskIsStartedOnceItsEarlierRunIsRemoved() {
    Machine machine = machineWithReturningTask();
    assertEquals(List.of(remove), heartbeatAt(machine, 2, stopped).commands());
    assertEquals(List.of(remove), heartbeatAt(machine, 3, stopped).commands(), "dropped before");
    assertEquals(List.of(start), heartbeatAt(machine, 4).commands());
    assertEquals(TaskPhase.STARTING, job.boundTasks().get(0).phase());
    heartbeatAt(machine, 5, running);
    assertEquals(TaskPhase.RUNNING, job.boundTasks().get(0).phase());
    assertEquals(
        List.of(), heartbeatAt(machine, 6, stopped).commands(), "it stays known to the worker");
    assertEquals(0, job.boundTasks().size(), "this exit is one of the new run");
  }

  /** A late copy of the earlier start begins the new run as soon as the old record is gone. */
  @Test
  void aLateStartBeginsTheNewRunOfAReturningTask() {
    Machine machine = machineWithReturningTask();
    heartbeatAt(machine, 2, stopped);
    assertEquals(List.of(), heartbeatAt(machine, 3, running).commands());
    assertEquals(TaskPhase.RUNNING, job.boundTasks().get(0).phase());
  }

  /**
   * Guards against a task that runs twice: once the removal was sent, a late copy of the start may
   * begin it here, so it stays bound until the worker knows the attempt again.
   */
  @Test
  void aReturningTaskThatIsStoppedStaysBoundUntilItsWorkerKnowsTheAttempt() {
    Machine machine = machineWithReturningTask();
    heartbeatAt(machine, 2, stopped);
    clusterState.stop(job.boundTasks().get(0), "not wanted", 2 * SECOND);
    reconciler.onDirectReply(machine, heartbeat(machine, 3, TERM, stopped), 2 * SECOND + 1);
    assertEquals(1, job.boundTasks().size(), "the removal may still be on its way");
    assertEquals(List.of(start, stop), heartbeatAt(machine, 4).commands());
    assertEquals(1, job.boundTasks().size(), "the start may be on its way");
    heartbeatAt(machine, 5, stopped);
    assertEquals(0, job.boundTasks().size());
  }

  /** A heartbeat is sent after the response before it was processed or dropped. */
  @Test
  void aReturningTaskThatIsStoppedIsUnboundIfItsEarlierRunWasNotRemoved() {
    Machine machine = machineWithReturningTask();
    heartbeatAt(machine, 2, stopped);
    clusterState.stop(job.boundTasks().get(0), "not wanted", 2 * SECOND);
    assertEquals(List.of(), heartbeatAt(machine, 3, stopped).commands());
    assertEquals(0, job.boundTasks().size());
  }

  @Test
  void aReturningTaskThatIsStoppedBeforeAnyCommandIsUnboundAtOnce() {
    Machine machine = machineWithReturningTask();
    clusterState.stop(job.boundTasks().get(0), "not wanted", 2 * SECOND);
    assertEquals(0, machine.tasks().size());
  }

  /** A result counts, whichever run it is of. */
  @Test
  void aResultOfTheEarlierRunOfAReturningTaskCounts() {
    Machine machine = machineWithReturningTask();
    heartbeatAt(machine, 2, reported(TaskState.EXITED, ExitCause.DONE));
    assertTrue(job.doneTasks().get(0));
    assertEquals(0, job.boundTasks().size());
  }
}
