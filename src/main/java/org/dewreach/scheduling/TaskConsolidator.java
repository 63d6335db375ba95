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
 * tasks. A move costs the time to save a checkpoint and to start the task again, so only tasks with
 * far more than that left to run are moved.
 */
public final class TaskConsolidator {
  private static final Logger LOG = LoggerFactory.getLogger(TaskConsolidator.class);

  /** Expected time from placement to running, without an image fetch. */
  private static final long TASK_START_MICROS = 4_000_000;

  /** A task is moved only if its remaining run time exceeds this many times the cost of a move. */
  private static final int MIN_REMAINING_TO_MOVE_COST_RATIO = 10;

  private final ClusterState clusterState;

  /** Creates the consolidator of one term. */
  public TaskConsolidator(ClusterState clusterState) {
    this.clusterState = clusterState;
  }

  /** Stops at most one task of each cordoned machine; later placement passes place it again. */
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
        clusterState.stop(movable, "moved with its checkpoint to release its machine", nowMicros);
        clusterState.requestPlacement();
      }
    }
  }

  /**
   * Returns the cordoned machines, fewest tasks first, so that the moves empty as many machines as
   * possible.
   */
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

  /**
   * Returns a task worth moving, or null. Null also if the machine runs a task that is neither
   * worth moving nor a service, because the machine would not become empty.
   */
  private static Task movableTask(Machine machine, long nowMicros) {
    Task found = null;
    for (Task task : machine.tasks()) {
      if (isWorthMoving(task, nowMicros)) {
        found = task;
      } else if (task.spec().jobKind() != JobKind.SERVICE) {
        return null;
      }
    }
    return found;
  }

  private static boolean isWorthMoving(Task task, long nowMicros) {
    JobSpec spec = task.spec();
    long ranMicros = nowMicros - task.startedAt();
    return task.phase() == TaskPhase.RUNNING
        && spec.jobKind() == JobKind.ARRAY
        && spec.checkpointIntervalMicros() > 0
        && spec.expectedMicros() - ranMicros
            > MIN_REMAINING_TO_MOVE_COST_RATIO
                * (spec.checkpointDurationMicros() + TASK_START_MICROS);
  }

  /**
   * Returns a machine on which the task could start immediately, after uncordoning one if
   * necessary; null if there is none.
   */
  private Machine findTarget(Task task, Set<Machine> usedTargets) {
    JobSpec spec = task.spec();
    Machine machine =
        clusterState
            .sortedMachines()
            .firstFit(
                spec, other -> !usedTargets.contains(other) && canStartImmediately(spec, other));
    return machine != null ? machine : uncordonOneFor(task);
  }

  /**
   * True if the task could start on the machine immediately. Excludes on-demand machines for tasks
   * that leave headroom for services, because placement may reject them there.
   */
  private static boolean canStartImmediately(JobSpec spec, Machine machine) {
    return SortFirstFit.permitted(spec, machine)
        && machine.fetchMicros(spec) == 0
        && (machine.spot() || !ServiceHeadroom.appliesTo(spec));
  }

  /**
   * Uncordons the fullest cordoned machine on which the task could start immediately, and returns
   * it; null if there is none that has at least as many tasks as the task's own machine.
   *
   * <p>Guards against all machines being cordoned at the same time while demand falls, each kept
   * for a few tasks that fit on no other machine.
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
