package org.dewreach.scheduling;

import static org.dewreach.testing.ClusterFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.testing.ClusterFixture;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which tasks are stopped for tasks of higher priority: {@link Preemption}. */
class PreemptionTest {
  private final ClusterFixture cluster = new ClusterFixture(100, 100);
  private final Preemption preemption = new Preemption(cluster.state());
  private final Job low =
      cluster.submitted(JobSpecBuilder.array("req-1").priority(Priority.LOW).tasks(4).build());
  private Machine machine;

  /** Fills a machine with four tasks of low priority. */
  @BeforeEach
  void fillMachine() {
    machine =
        cluster.add(ClusterFixture.newUpMachine("m1", ClusterFixture.type("box", 4, 64, 0), true));
    for (int i = 0; i < 4; i++) {
      cluster
          .bind(low, i, machine, TaskPhase.ASSIGNED, i * SECOND)
          .changePhase(TaskPhase.RUNNING, i * SECOND);
    }
  }

  private void preemptFor(JobSpecBuilder spec, int tasks, long nowMicros) {
    Job job = cluster.submitted(spec.tasks(tasks).build());
    preemption.preempt(List.of(new UnplacedTasks(job, tasks)), nowMicros);
  }

  private List<Integer> stopped() {
    return machine.tasks().stream()
        .filter(task -> task.phase() == TaskPhase.STOPPING)
        .map(Task::index)
        .toList();
  }

  @Test
  void theLatestStartedTasksAreStoppedAndNoMoreThanNeeded() {
    preemptFor(JobSpecBuilder.array("req-2").cpus(2), 1, 10 * SECOND);
    assertEquals(List.of(2, 3), stopped());
  }

  @Test
  void tasksOfEqualPriorityAreNotStopped() {
    preemptFor(JobSpecBuilder.array("req-2").priority(Priority.LOW), 1, 10 * SECOND);
    assertEquals(List.of(), stopped());
  }

  /**
   * Guards against stopping more and more tasks for the same need while the first ones are still
   * stopping.
   */
  @Test
  void capacityBeingFreedIsCounted() {
    preemptFor(JobSpecBuilder.array("req-2"), 1, 10 * SECOND);
    preemptFor(JobSpecBuilder.array("req-3"), 1, 11 * SECOND);
    assertEquals(List.of(3), stopped());
  }

  @Test
  void nothingIsStoppedOnMachinesTheTaskMayNotUse() {
    preemptFor(JobSpecBuilder.array("req-2").spot(false), 1, 10 * SECOND);
    assertEquals(List.of(), stopped());
  }

  @Test
  void nothingIsStoppedIfAllPreemptibleTasksAreNotEnough() {
    preemptFor(JobSpecBuilder.array("req-2").cpus(5), 1, 10 * SECOND);
    assertEquals(List.of(), stopped());
  }

  /**
   * Guards against stopping tasks to no effect: tasks that depend on each other might get only half
   * of the capacity that they need.
   */
  @Test
  void jobsWithZoneRulesPreemptNothing() {
    preemptFor(JobSpecBuilder.array("req-2").sameZone(true), 2, 10 * SECOND);
    preemptFor(JobSpecBuilder.array("req-3").spreadZones(true), 2, 11 * SECOND);
    assertEquals(List.of(), stopped());
  }

  @Test
  void callsWithinTheIntervalAreIgnored() {
    preemptFor(JobSpecBuilder.array("req-2"), 1, 10 * SECOND);
    preemptFor(JobSpecBuilder.array("req-3").cpus(4), 1, 10 * SECOND + 100_000);
    assertEquals(List.of(3), stopped());
  }
}
