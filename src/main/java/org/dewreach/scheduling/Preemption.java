package org.dewreach.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
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
 * Makes room for tasks that fit nowhere by stopping tasks of lower priority.
 *
 * <p>Machines are walked in the order of the list. Room that is being freed already is counted, so
 * that one need does not stop tasks twice.
 */
public final class Preemption {
  /** Bounds what one pass may stop; the next pass goes on. */
  private static final int MAX_VICTIMS = 24;

  /** It looks at all machines, so not in each pass. */
  private static final long INTERVAL_MICROS = 200_000;

  private final ClusterState clusterState;
  private long nextAt;

  /** The preemption of one term. */
  public Preemption(ClusterState clusterState) {
    this.clusterState = clusterState;
  }

  /** Stops tasks of lower priority for what the last placement pass could not place. */
  public void preempt(List<UnplacedTasks> unplaced, long nowMicros) {
    if (unplaced.isEmpty() || nowMicros < nextAt) {
      return;
    }
    nextAt = nowMicros + INTERVAL_MICROS;
    Set<Task> victims = new Search(nowMicros).victimsFor(unplaced);
    for (Task task : victims) {
      clusterState.stop(task, "preempted", nowMicros);
    }
    if (!victims.isEmpty()) {
      clusterState.requestPlacement();
    }
  }

  /** The lowest priority that has tasks on machines, or null. */
  private Priority lowestBoundPriority() {
    Priority lowest = null;
    for (Job job : clusterState.jobs().values()) {
      if (!job.boundTasks().isEmpty() && (lowest == null || lowest.above(job.spec().priority()))) {
        lowest = job.spec().priority();
      }
    }
    return lowest;
  }

  /** The search for victims, with the room that each machine has once those found are stopped. */
  private final class Search {
    private final long nowMicros;
    private final Priority lowest = lowestBoundPriority();
    private final Map<Machine, FreeCapacity> freeCapacities = new HashMap<>();
    private final Set<Task> victims = new LinkedHashSet<>();

    /** What found no room will find none for another task with the same requirements either. */
    private final Set<String> unplaceable = new HashSet<>();

    Search(long nowMicros) {
      this.nowMicros = nowMicros;
    }

    Set<Task> victimsFor(List<UnplacedTasks> unplaced) {
      for (UnplacedTasks item : unplaced) {
        if (mayPreempt(item.job().spec())) {
          makeRoom(item);
        }
      }
      return victims;
    }

    private boolean mayPreempt(JobSpec spec) {
      boolean independent =
          spec.jobKind() != JobKind.GANG && !spec.sameZone() && !spec.spreadZones();
      return independent && lowest != null && spec.priority().above(lowest);
    }

    private void makeRoom(UnplacedTasks item) {
      String equivalenceKey = SortFirstFit.equivalenceKey(item.job().spec());
      if (unplaceable.contains(equivalenceKey)) {
        return;
      }
      for (int i = 0; i < item.tasks() && victims.size() < MAX_VICTIMS; i++) {
        if (!makeRoomForTask(item.job())) {
          unplaceable.add(equivalenceKey);
          return;
        }
      }
    }

    /** Sets room for one task aside, choosing victims where it needs them. */
    private boolean makeRoomForTask(Job job) {
      JobSpec spec = job.spec();
      Predicate<Machine> eligible = eligibleMachines(job);
      List<Machine> candidates = new ArrayList<>();
      for (Machine machine : clusterState.sortedMachines().machines()) {
        if (eligible.test(machine)) {
          FreeCapacity free = freeCapacities.computeIfAbsent(machine, Preemption::beingFreed);
          if (free.covers(spec)) {
            free.take(spec);
            return true;
          }
          if (machine.hasTaskOfLowerPriority(spec.priority())) {
            candidates.add(machine);
          }
        }
      }
      return candidates.stream().anyMatch(machine -> chooseVictims(machine, spec));
    }

    /** Machines that placement would pass over must not lose tasks for nothing, pass after pass. */
    private Predicate<Machine> eligibleMachines(Job job) {
      TaskName next = new TaskName(job.id(), Math.max(0, job.nextPending()));
      // On on-demand machines such work also leaves room for services, which stopping tasks does
      // not make.
      boolean spotOnly = ServiceHeadroom.appliesTo(job.spec());
      Predicate<Machine> allowed = MachineFilter.forJob(job, nowMicros);
      return machine ->
          machine.schedulable()
              && (machine.spot() || !spotOnly)
              && allowed.test(machine)
              && !machine.directCommands().hasStartedTask(next);
    }

    /** Chooses the fewest, latest started tasks of lower priority that make room, or none. */
    private boolean chooseVictims(Machine machine, JobSpec spec) {
      FreeCapacity freed = freeCapacities.get(machine).copy();
      List<Task> chosen = new ArrayList<>();
      for (Task task : preemptible(machine, spec.priority())) {
        chosen.add(task);
        freed.add(task.spec());
        if (freed.covers(spec)) {
          freed.take(spec);
          freeCapacities.put(machine, freed);
          victims.addAll(chosen);
          return true;
        }
      }
      return false;
    }

    /** The machine's tasks of lower priority that are not stopped yet, latest started first. */
    private List<Task> preemptible(Machine machine, Priority priority) {
      List<Task> tasks = new ArrayList<>();
      for (Task task : machine.tasks()) {
        if (priority.above(task.spec().priority())
            && task.phase() != TaskPhase.STOPPING
            && !victims.contains(task)) {
          tasks.add(task);
        }
      }
      tasks.sort(Comparator.comparingLong(Task::boundAt).reversed());
      return tasks;
    }
  }

  /** What the machine has free once the tasks that are being stopped are gone. */
  private static FreeCapacity beingFreed(Machine machine) {
    FreeCapacity free = FreeCapacity.free(machine);
    for (Task task : machine.tasks()) {
      if (task.phase() == TaskPhase.STOPPING) {
        free.add(task.spec());
      }
    }
    return free;
  }
}
