package org.dewreach.controller;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dewreach.config.Tuning;
import org.dewreach.machine.Machine;
import org.dewreach.machine.MachinePhase;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.task.Task;
import org.dewreach.task.TaskPhase;
import org.dewreach.wire.JobRequest;
import org.dewreach.wire.Shape;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves tasks off machines that run empty and would otherwise be kept for a few of them.
 *
 * <p>Moving a service costs about a second of a replica's time, so only a small share of all
 * replicas' time is spent on it.
 */
final class Consolidation {
  private static final Logger LOG = LoggerFactory.getLogger(Consolidation.class);

  private static final double MOST_MOVES_SAVED = 2;

  /** A service that began lately is not moved. Ours. */
  private static final long SETTLED = 45_000_000;

  private final Books books;
  private final Tuning tuning;

  /** Services that may be moved now; grows with the replicas' time. */
  private double moveBudget;

  Consolidation(Books books, Tuning tuning) {
    this.books = books;
    this.tuning = tuning;
  }

  /**
   * Stops what is better run elsewhere; the next passes place it again.
   *
   * @param sinceMicros time since the last call
   */
  void move(long nowMicros, long sinceMicros) {
    moveBudget =
        Math.min(
            MOST_MOVES_SAVED, moveBudget + replicas() * tuning.movedShare() * sinceMicros / 1e6);
    books.list().lookAgain();
    Set<Machine> targets = new HashSet<>();
    for (Machine machine : emptiestFirst()) {
      if (moveBudget < 1) {
        return;
      }
      Task movable = movable(machine, nowMicros);
      if (movable == null || targets.contains(machine)) {
        continue;
      }
      Machine target = target(movable, targets);
      if (target != null) {
        targets.add(target);
        moveBudget -= 1;
        books.stop(movable, "moved, so that its machine can be returned", nowMicros);
        books.touch();
      }
    }
  }

  private int replicas() {
    int replicas = 0;
    for (Machine machine : books.machines().values()) {
      for (Task task : machine.tasks()) {
        replicas += task.spec().shape() == Shape.SERVICE ? 1 : 0;
      }
    }
    return replicas;
  }

  /** Machines that run empty, fewest tasks first: so each move frees the most machines. */
  private List<Machine> emptiestFirst() {
    List<Machine> retiring = new ArrayList<>();
    for (Machine machine : books.machines().values()) {
      if (machine.retiring() && machine.phase() == MachinePhase.UP) {
        retiring.add(machine);
      }
    }
    retiring.sort(Comparator.comparingInt(machine -> machine.tasks().size()));
    return retiring;
  }

  /** A task of a machine that has nothing else but what may be moved. */
  private static Task movable(Machine machine, long nowMicros) {
    Task found = null;
    for (Task task : machine.tasks()) {
      if (!mayMove(task, nowMicros)) {
        return null;
      }
      found = task;
    }
    return found;
  }

  private static boolean mayMove(Task task, long nowMicros) {
    JobRequest spec = task.spec();
    return task.phase() == TaskPhase.RUNNING
        && spec.shape() == Shape.SERVICE
        && spec.tasks() == 1
        && nowMicros - task.startedAt() > SETTLED;
  }

  /** Where the task could start at once, or null. */
  private Machine target(Task task, Set<Machine> taken) {
    JobRequest spec = task.spec();
    Machine machine =
        books.list().firstFit(spec, other -> !taken.contains(other) && startsAtOnce(spec, other));
    return machine != null ? machine : keepOneFor(task);
  }

  private static boolean startsAtOnce(JobRequest spec, Machine machine) {
    return SortFirstFit.permitted(spec, machine) && machine.fetchMicros(spec) == 0;
  }

  /**
   * Keeps the fullest of the machines that run empty on which the task could start at once.
   *
   * <p>Guards against all machines running empty side by side while demand falls, each kept for a
   * few tasks that have no room anywhere else.
   */
  private Machine keepOneFor(Task task) {
    JobRequest spec = task.spec();
    List<Machine> retiring = emptiestFirst();
    Collections.reverse(retiring);
    for (Machine machine : retiring) {
      if (machine.tasks().size() < task.machine().tasks().size()) {
        return null;
      }
      if (machine != task.machine()
          && machine.usableOnceKept()
          && SortFirstFit.covers(machine, spec)
          && startsAtOnce(spec, machine)) {
        LOG.info("machine {} is kept for tasks of others", machine.name());
        machine.retiring(false);
        books.list().changed(machine);
        return machine;
      }
    }
    return null;
  }
}
