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
 * Moves tasks that save their progress off machines that run empty and would otherwise be kept for
 * a few long ones. A move costs the saving and a start, so it is made only for tasks with far more
 * than that left to run.
 */
public final class TaskConsolidator {
  private static final Logger LOG = LoggerFactory.getLogger(TaskConsolidator.class);

  /** From placement to running, without an image fetch. A default of this project. */
  private static final long START_MICROS = 4_000_000;

  /**
   * A task is moved if it has this many times the cost of a move left to run. A default of this
   * project.
   */
  private static final int WORTH_MOVING = 10;

  private final ClusterState clusterState;

  public TaskConsolidator(ClusterState clusterState) {
    this.clusterState = clusterState;
  }

  /** Stops at most one task of each machine that runs empty; the next passes place it again. */
  public void consolidate(long nowMicros) {
    clusterState.list().invalidateIndex();
    Set<Machine> targets = new HashSet<>();
    for (Machine machine : emptiestFirst()) {
      Task movable = movable(machine, nowMicros);
      if (movable == null || targets.contains(machine)) {
        continue;
      }
      Machine target = target(movable, targets);
      if (target != null) {
        targets.add(target);
        clusterState.stop(
            movable, "moved with its progress, so that its machine can be returned", nowMicros);
        clusterState.requestPlacement();
      }
    }
  }

  /** Machines that run empty, fewest tasks first: so each move frees the most machines. */
  private List<Machine> emptiestFirst() {
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
  private static Task movable(Machine machine, long nowMicros) {
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
        && spec.checkpointMicros() > 0
        && spec.expectedMicros() - ran > WORTH_MOVING * (spec.saveMicros() + START_MICROS);
  }

  /** Where the task could start at once, or null. */
  private Machine target(Task task, Set<Machine> taken) {
    JobSpec spec = task.spec();
    Machine machine =
        clusterState
            .list()
            .firstFit(spec, other -> !taken.contains(other) && startsAtOnce(spec, other));
    return machine != null ? machine : keepOneFor(task);
  }

  /**
   * Work that leaves room to services on ordinary machines is sure of its room on spot ones only.
   */
  private static boolean startsAtOnce(JobSpec spec, Machine machine) {
    return SortFirstFit.permitted(spec, machine)
        && machine.fetchMicros(spec) == 0
        && (machine.spot() || !TaskPlacer.yields(spec));
  }

  /**
   * Keeps the fullest of the machines that run empty on which the task could start at once.
   *
   * <p>Guards against all machines running empty side by side while demand falls, each kept for a
   * few tasks that have no room anywhere else.
   */
  private Machine keepOneFor(Task task) {
    JobSpec spec = task.spec();
    List<Machine> cordoned = emptiestFirst();
    Collections.reverse(cordoned);
    for (Machine machine : cordoned) {
      if (machine.tasks().size() < task.machine().tasks().size()) {
        return null;
      }
      if (machine != task.machine()
          && machine.schedulableOnceUncordoned()
          && SortFirstFit.covers(machine, spec)
          && startsAtOnce(spec, machine)) {
        LOG.info("machine {} is kept for tasks of others", machine.name());
        machine.cordoned(false);
        clusterState.list().changed(machine);
        return machine;
      }
    }
    return null;
  }
}
