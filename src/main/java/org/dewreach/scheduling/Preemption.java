package org.dewreach.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.placement.FreeCapacity;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;
import org.dewreach.wire.TaskName;

/**
 * Makes room for more urgent work that fits nowhere by stopping less urgent tasks.
 *
 * <p>Machines are walked in the order of the list. Room that is being freed already is counted, so
 * that one need does not stop tasks twice.
 */
public final class Preemption {
  /** Bounds what one pass may stop; the next pass goes on. */
  private static final int MAX_STOPPED = 24;

  /** It looks at all machines, so not in each pass. */
  private static final long INTERVAL_MICROS = 200_000;

  private final ClusterState clusterState;
  private long nextAt;

  public Preemption(ClusterState clusterState) {
    this.clusterState = clusterState;
  }

  public void evictIdleConnection(List<TaskPlacer.Waiting> waiting, long nowMicros) {
    if (waiting.isEmpty() || nowMicros < nextAt) {
      return;
    }
    nextAt = nowMicros + INTERVAL_MICROS;
    Priority least = leastBound();
    Map<Machine, FreeCapacity> freeCapacities = new HashMap<>();
    Set<Task> chosen = new LinkedHashSet<>();
    // What found no room will find none for another task of the same size and places either.
    Set<String> hopeless = new HashSet<>();
    for (TaskPlacer.Waiting item : waiting) {
      JobSpec spec = item.job().spec();
      boolean alone = spec.jobKind() != JobKind.GANG && !spec.sameZone() && !spec.spreadZones();
      if (!alone || least == null || !spec.priority().above(least)) {
        continue;
      }
      String likeness = SortFirstFit.likeness(spec);
      if (hopeless.contains(likeness)) {
        continue;
      }
      for (int i = 0; i < item.tasks() && chosen.size() < MAX_STOPPED; i++) {
        if (!find(item.job(), freeCapacities, chosen, nowMicros)) {
          hopeless.add(likeness);
          break;
        }
      }
    }
    for (Task task : chosen) {
      clusterState.stop(task, "room for more urgent work", nowMicros);
    }
    if (!chosen.isEmpty()) {
      clusterState.requestPlacement();
    }
  }

  /** The least urgency that has tasks on machines, or null. */
  private Priority leastBound() {
    Priority least = null;
    for (Job job : clusterState.jobs().values()) {
      if (!job.bound().isEmpty() && (least == null || least.above(job.spec().priority()))) {
        least = job.spec().priority();
      }
    }
    return least;
  }

  /** Sets room for one task aside, choosing tasks to stop where it needs them. */
  private boolean find(
      Job job, Map<Machine, FreeCapacity> freeCapacities, Set<Task> chosen, long nowMicros) {
    JobSpec spec = job.spec();
    // Machines that placement would pass over must not lose tasks for nothing, pass after pass.
    TaskName next = new TaskName(job.id(), Math.max(0, job.nextPending()));
    // On ordinary machines such work also leaves room for services, which stopping does not make.
    boolean spotOnly = TaskPlacer.yields(spec);
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : clusterState.list().machines()) {
      if (machine.schedulable()
          && SortFirstFit.permitted(spec, machine)
          && (machine.spot() || !spotOnly)
          && !TaskPlacer.refusedLately(machine, nowMicros)
          && !job.backoff().avoidedMachines(nowMicros).contains(machine.name())
          && !machine.directCommands().hasStartedTask(next)) {
        FreeCapacity freeCapacity = freeCapacities.computeIfAbsent(machine, Preemption::withFreed);
        if (freeCapacity.covers(spec)) {
          freeCapacity.take(spec);
          return true;
        }
        if (machine.hasTaskBelow(spec.priority())) {
          candidates.add(machine);
        }
      }
    }
    for (Machine machine : candidates) {
      List<Task> victims = victims(machine, spec, freeCapacities.get(machine), chosen);
      if (!victims.isEmpty()) {
        FreeCapacity freeCapacity = freeCapacities.get(machine);
        victims.forEach(task -> freeCapacity.add(task.spec()));
        freeCapacity.take(spec);
        chosen.addAll(victims);
        return true;
      }
    }
    return false;
  }

  private static FreeCapacity withFreed(Machine machine) {
    FreeCapacity freeCapacity = FreeCapacity.free(machine);
    for (Task task : machine.tasks()) {
      if (task.phase() == TaskPhase.STOPPING) {
        freeCapacity.add(task.spec());
      }
    }
    return freeCapacity;
  }

  /** The fewest, latest started of the machine's less urgent tasks that make room, or none. */
  private static List<Task> victims(
      Machine machine, JobSpec spec, FreeCapacity freeCapacity, Set<Task> chosen) {
    List<Task> less = new ArrayList<>();
    for (Task task : machine.tasks()) {
      if (spec.priority().above(task.spec().priority())
          && task.phase() != TaskPhase.STOPPING
          && !chosen.contains(task)) {
        less.add(task);
      }
    }
    less.sort(Comparator.comparingLong(Task::boundAt).reversed());
    FreeCapacity freed = freeCapacity.copy();
    List<Task> victims = new ArrayList<>();
    for (Task task : less) {
      victims.add(task);
      freed.add(task.spec());
      if (freed.covers(spec)) {
        return victims;
      }
    }
    return List.of();
  }
}
