package org.dewreach.scheduling;

import static org.dewreach.testing.ClusterFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.MachineType;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.Test;

/** Tests which tasks are moved off cordoned machines: {@link TaskConsolidator}. */
class TaskConsolidatorTest {
  private static final long CHECKPOINT_INTERVAL = 30 * SECOND;
  private static final long LONG_RUN = 300 * SECOND;
  private static final MachineType BOX = ClusterFixture.type("box", 4, 64, 0);

  private final ClusterFixture cluster = new ClusterFixture(99, 99);
  private final TaskConsolidator consolidator = new TaskConsolidator(cluster.state());

  private Machine machine(String name, boolean spot, boolean cordoned) {
    Machine machine = ClusterFixture.newUpMachine(name, BOX, spot);
    machine.cordoned(cordoned);
    return cluster.add(machine);
  }

  private Task checkpointingTask(String id, Machine machine) {
    return task(id, machine, CHECKPOINT_INTERVAL, LONG_RUN);
  }

  private Task task(String id, Machine machine, long checkpointInterval, long expected) {
    Job job =
        cluster.submitted(
            JobSpecBuilder.array(id)
                .jobClass("backfill")
                .priority(Priority.LOW)
                .image("img", 0)
                .expectedMicros(expected)
                .checkpoints(checkpointInterval, 3 * SECOND)
                .build());
    Task task = cluster.bind(job, 0, machine, TaskPhase.ASSIGNED, 0);
    task.changePhase(TaskPhase.RUNNING, 0);
    return task;
  }

  /** Guards against machines kept for one long task each: without the move none is released. */
  @Test
  void aTaskWithCheckpointsMovesOffACordonedMachine() {
    machine("m0", true, false);
    Task task = checkpointingTask("req-1", machine("m1", true, true));
    consolidator.consolidate(SECOND);
    assertEquals(TaskPhase.STOPPING, task.phase());
  }

  /**
   * Guards against moves that lose the progress of a task, or that cost more than the task has left
   * to run.
   */
  @Test
  void aTaskWithoutCheckpointsOrNearItsEndStays() {
    machine("m0", true, false);
    Task withoutCheckpoints = task("req-1", machine("m1", true, true), 0, LONG_RUN);
    Task nearItsEnd = task("req-2", machine("m2", true, true), CHECKPOINT_INTERVAL, 60 * SECOND);
    consolidator.consolidate(SECOND);
    assertEquals(TaskPhase.RUNNING, withoutCheckpoints.phase());
    assertEquals(TaskPhase.RUNNING, nearItsEnd.phase());
  }

  /**
   * Guards against a task that is stopped and then rejected because of the headroom for services.
   */
  @Test
  void spotTasksAreNotMovedToOnDemandMachines() {
    machine("m0", false, false);
    Task task = checkpointingTask("req-1", machine("m1", true, true));
    consolidator.consolidate(SECOND);
    assertEquals(TaskPhase.RUNNING, task.phase());
  }

  /**
   * Guards against machines that are all cordoned at the same time: without {@code uncordonOneFor}
   * no task is moved here.
   */
  @Test
  void theFullestCordonedMachineIsUncordonedForTheOthersTasks() {
    Machine fuller = machine("m2", true, true);
    checkpointingTask("req-1", fuller);
    checkpointingTask("req-2", fuller);
    Task alone = checkpointingTask("req-3", machine("m1", true, true));
    consolidator.consolidate(SECOND);
    assertEquals(TaskPhase.STOPPING, alone.phase());
    assertTrue(fuller.schedulable(), "the fullest machine is the target of the move");
    assertTrue(fuller.tasks().stream().allMatch(task -> task.phase() == TaskPhase.RUNNING));
  }

  /** Guards against uncordoning both machines for each other's task, or neither of them. */
  @Test
  void ofTwoEquallyFullCordonedMachinesOneIsUncordoned() {
    Machine one = machine("m1", true, true);
    Machine other = machine("m2", true, true);
    Task first = checkpointingTask("req-1", one);
    Task second = checkpointingTask("req-2", other);
    consolidator.consolidate(SECOND);
    assertTrue(one.cordoned() != other.cordoned());
    assertTrue(
        first.phase() != second.phase(),
        "only the task of the machine that stays cordoned is moved");
  }

  /**
   * Guards against moves that empty no machine: without the order by number of tasks, the fuller
   * machine loses a task.
   */
  @Test
  void theEmptiestMachineIsEmptiedFirst() {
    Machine target = machine("m0", true, false);
    checkpointingTask("req-0", target);
    Machine fuller = machine("m1", true, true);
    Task one = checkpointingTask("req-1", fuller);
    Task two = checkpointingTask("req-2", fuller);
    Task alone = checkpointingTask("req-3", machine("m2", true, true));
    consolidator.consolidate(SECOND);
    assertEquals(TaskPhase.STOPPING, alone.phase());
    assertEquals(TaskPhase.RUNNING, one.phase());
    assertEquals(TaskPhase.RUNNING, two.phase());
  }
}
