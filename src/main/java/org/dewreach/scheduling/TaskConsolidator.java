package org.dewreach.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves tasks with checkpoints off cordoned machines that would otherwise be kept for a few long
 * ones. A move costs saving a checkpoint and a start, so it is made only for tasks with far more
 * than that left to run.
 */
public final class TaskConsolidator {
  private static final Logger LOG = LoggerFactory.getLogger(TaskConsolidator.class);

  /** From placement to running, without an image fetch. A default of this project. */
  private static final long TASK_START_MICROS = 4_000_000;

  /**
   * A task is moved if it has this many times the cost of a move left to run. A default of this
   * project.
   */
  private static final int MIN_REMAINING_TO_MOVE_COST_RATIO = 10;

  private final ClusterState clusterState;

  /** A consolidator of one term. */
  public TaskConsolidator(ClusterState clusterState) {
    this.clusterState = clusterState;
  }

  /** Stops at most one task of each cordoned machine; the next passes place it again. */
  public void consolidate(long nowMicros) {
    clusterState.sortedMachines().invalidateIndex();
    Set<Machine> targets = new HashSet<>();
    for (Machine machine : cordonedEmptiestFirst()) {
      Task movable = movableTask(machine, nowMicros);
      if (movable == null || targets.contains(machine)) {
        continue;
      }
      Machine target = findTarget(movable, targets);
      if (target != null) {
        targets.add(target);
        clusterState.stop(
            movable, "moved with its progress, so that its machine can be returned", nowMicros);
        clusterState.requestPlacement();
      }
    }
  }

  /** Cordoned machines, fewest tasks first: so the moves free the most machines. */
  private List<Machine> cordonedEmptiestFirst() {
    List<Machine> cordoned = new ArrayList<>();
    for (Machine machine : clusterState.machines().values()) {
      if (machine.cordoned() && machine.phase() == MachinePhase.UP) {
        cordoned.add(machine);
      }
    }
    cordoned.sort(Comparator.comparingInt(machine -> machine.tasks().size()));
    return cordoned;
  }

  /** A task worth moving, of a machine that has only such tasks and services; or null. */
  private static Task movableTask(Machine machine, long nowMicros) {
    Task found = null;
    for (Task task : machine.tasks()) {
      if (worthMoving(task, nowMicros)) {
        found = task;
      } else if (task.spec().jobKind() != JobKind.SERVICE) {
        return null;
      }
    }
    return found;
  }

  private static boolean worthMoving(Task task, long nowMicros) {
    JobSpec spec = task.spec();
    long ran = nowMicros - task.startedAt();
    return task.phase() == TaskPhase.RUNNING
        && spec.jobKind() == JobKind.ARRAY
        && spec.checkpointIntervalMicros() > 0
        && spec.expectedMicros() - ran
            > MIN_REMAINING_TO_MOVE_COST_RATIO
                * (spec.checkpointDurationMicros() + TASK_START_MICROS);
  }

  /** Where the task could start at once, or null. */
  private Machine findTarget(Task task, Set<Machine> taken) {
    JobSpec spec = task.spec();
    Machine machine =
        clusterState
            .sortedMachines()
            .firstFit(spec, other -> !taken.contains(other) && canStartImmediately(spec, other));
    return machine != null ? machine : uncordonOneFor(task);
  }

  /** On on-demand machines, work that leaves room for services may find none when it is placed. */
  private static boolean canStartImmediately(JobSpec spec, Machine machine) {
    return SortFirstFit.permitted(spec, machine)
        && machine.fetchMicros(spec) == 0
        && (machine.spot() || !ServiceHeadroom.appliesTo(spec));
  }

  /**
   * Uncordons the fullest of the cordoned machines on which the task could start at once.
   *
   * <p>Guards against all machines being cordoned side by side while demand falls, each kept for a
   * few tasks that have no room anywhere else.
   */
  private Machine uncordonOneFor(Task task) {
    JobSpec spec = task.spec();
    List<Machine> cordoned = cordonedEmptiestFirst();
    Collections.reverse(cordoned);
    for (Machine machine : cordoned) {
      if (machine.tasks().size() < task.machine().tasks().size()) {
        return null;
      }
      if (machine != task.machine()
          && machine.schedulableOnceUncordoned()
          && SortFirstFit.covers(machine, spec)
          && canStartImmediately(spec, machine)) {
        LOG.info("machine uncordoned: machine={} for_task={}", machine.name(), task.name());
        machine.cordoned(false);
        clusterState.sortedMachines().updateCapacity(machine);
        return machine;
      }
    }
    return null;
  }
}
