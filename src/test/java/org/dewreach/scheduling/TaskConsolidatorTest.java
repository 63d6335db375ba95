package org.dewreach.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.Test;

class TaskConsolidatorTest {
  private static final long S = 1_000_000;
  private static final long CHECKPOINTS = 30 * S;
  private static final long LONG_RUN = 300 * S;
  private static final MachineType BOX =
      new MachineType("box", 4, 0, 64, 50, 1, 1, 0.3, 5 * S, List.of("a"));

  private final ClusterState clusterState =
      new ClusterState(90, Map.of("red", new Settings.Team("red", 99, 99, 0, 0)), Tuning.DEFAULT);
  private final TaskConsolidator consolidation = new TaskConsolidator(clusterState);

  private Machine machine(String name, boolean spot, boolean cordoned) {
    Machine machine = new Machine(name, "", BOX, "a", spot, MachinePhase.BOOTING, 0);
    machine.recorded(true);
    machine.become(MachinePhase.UP, 0);
    machine.cordoned(cordoned);
    clusterState.add(machine);
    return machine;
  }

  private Task saving(String id, Machine machine) {
    return task(id, machine, CHECKPOINTS, LONG_RUN);
  }

  private Task task(String id, Machine machine, long checkpoints, long expected) {
    JobSpec spec =
        new JobSpec(
            id,
            "backfill",
            "red",
            JobKind.ARRAY,
            Priority.LOW,
            1,
            1,
            0,
            1,
            "img",
            0,
            null,
            null,
            false,
            false,
            true,
            expected,
            checkpoints,
            3 * S,
            -1);
    Job job = new Job(spec, 0, true, JobPhase.ACTIVE);
    clusterState.jobs().put(id, job);
    Task task =
        clusterState.bind(job, 0, clusterState.nextAttempt(), machine, TaskPhase.ASSIGNED, 0);
    task.become(TaskPhase.RUNNING, 0);
    return task;
  }

  /** Guards against machines kept for one long task each: without the move none is returned. */
  @Test
  void aTaskThatSavesMovesOffAMachineThatRunsEmpty() {
    machine("m0", true, false);
    Task task = saving("req-1", machine("m1", true, true));
    consolidation.consolidate(S);
    assertEquals(TaskPhase.STOPPING, task.phase());
  }

  /** Guards against work that is lost by a move, or costs more to move than it has left. */
  @Test
  void whatDoesNotSaveOrEndsSoonStays() {
    machine("m0", true, false);
    Task loses = task("req-1", machine("m1", true, true), 0, LONG_RUN);
    Task endsSoon = task("req-2", machine("m2", true, true), CHECKPOINTS, 60 * S);
    consolidation.consolidate(S);
    assertEquals(TaskPhase.RUNNING, loses.phase());
    assertEquals(TaskPhase.RUNNING, endsSoon.phase());
  }

  /** Guards against a task that is stopped and then kept out by the room for services. */
  @Test
  void roomOnOrdinaryMachinesIsNotCountedOn() {
    machine("m0", false, false);
    Task task = saving("req-1", machine("m1", true, true));
    consolidation.consolidate(S);
    assertEquals(TaskPhase.RUNNING, task.phase());
  }

  /**
   * Guards against machines that all run empty side by side: without {@code keepOneFor} nothing
   * moves here.
   */
  @Test
  void theFullestMachineThatRunsEmptyTakesInTheOthersTasks() {
    Machine fuller = machine("m2", true, true);
    saving("req-1", fuller);
    saving("req-2", fuller);
    Task alone = saving("req-3", machine("m1", true, true));
    consolidation.consolidate(S);
    assertEquals(TaskPhase.STOPPING, alone.phase());
    assertTrue(fuller.schedulable(), "it is where the task goes");
    assertTrue(fuller.tasks().stream().allMatch(task -> task.phase() == TaskPhase.RUNNING));
  }

  /** Guards against two machines that are kept for each other's task, or neither is. */
  @Test
  void ofTwoEquallyFullMachinesOneIsKept() {
    Machine one = machine("m1", true, true);
    Machine other = machine("m2", true, true);
    Task first = saving("req-1", one);
    Task second = saving("req-2", other);
    consolidation.consolidate(S);
    assertTrue(one.cordoned() != other.cordoned());
    assertTrue(first.phase() != second.phase(), "only the task of the other one is moved");
  }

  /** Guards against moves that free no machine: without the order the fuller one loses a task. */
  @Test
  void theEmptiestMachineIsClearedFirst() {
    Machine target = machine("m0", true, false);
    saving("req-0", target);
    Machine fuller = machine("m1", true, true);
    Task one = saving("req-1", fuller);
    Task two = saving("req-2", fuller);
    Task alone = saving("req-3", machine("m2", true, true));
    consolidation.consolidate(S);
    assertEquals(TaskPhase.STOPPING, alone.phase());
    assertEquals(TaskPhase.RUNNING, one.phase());
    assertEquals(TaskPhase.RUNNING, two.phase());
  }
}
