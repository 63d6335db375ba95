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

/**
 * Frees capacity for tasks that fit on no machine by stopping tasks of lower priority.
 *
 * <p>Machines are examined in the order of the sorted list. Capacity that is already being freed is
 * counted, so that tasks are not stopped twice for the same unplaced task.
 */
public final class Preemption {
  /** Bounds the number of tasks that one pass stops; the next pass continues. */
  private static final int MAX_VICTIMS_PER_PASS = 24;

  /**
   * Minimum time between two passes: each one examines all machines, so it does not follow every
   * placement pass.
   */
  private static final long MIN_PASS_INTERVAL_MICROS = 200_000;

  private final ClusterState clusterState;
  private long nextPassAt;

  /** Creates the preemption of one term. */
  public Preemption(ClusterState clusterState) {
    this.clusterState = clusterState;
  }

  /**
   * Stops tasks of lower priority to free capacity for tasks that the last placement pass could not
   * place.
   */
  public void preempt(List<UnplacedTasks> unplaced, long nowMicros) {
    if (unplaced.isEmpty() || nowMicros < nextPassAt) {
      return;
    }
    nextPassAt = nowMicros + MIN_PASS_INTERVAL_MICROS;
    Set<Task> victims = new VictimSearch(nowMicros).victimsFor(unplaced);
    for (Task task : victims) {
      clusterState.stop(task, "preempted", nowMicros);
    }
    if (!victims.isEmpty()) {
      clusterState.requestPlacement();
    }
  }

  /** Returns the lowest priority that has bound tasks, or null if no task is bound. */
  private Priority lowestBoundPriority() {
    Priority lowest = null;
    for (Job job : clusterState.jobs().values()) {
      if (!job.boundTasks().isEmpty()
          && (lowest == null || lowest.outranks(job.spec().priority()))) {
        lowest = job.spec().priority();
      }
    }
    return lowest;
  }

  /**
   * The search for victims. Tracks the free capacity that each machine has once the victims found
   * so far are gone.
   */
  private final class VictimSearch {
    private final long nowMicros;
    private final Priority lowest = lowestBoundPriority();
    private final Map<Machine, FreeCapacity> freeCapacities = new HashMap<>();
    private final Set<Task> victims = new LinkedHashSet<>();

    /**
     * Equivalence keys of tasks for which no capacity could be freed; another task with the same
     * key would fail as well.
     */
    private final Set<String> unplaceable = new HashSet<>();

    VictimSearch(long nowMicros) {
      this.nowMicros = nowMicros;
    }

    Set<Task> victimsFor(List<UnplacedTasks> unplaced) {
      for (UnplacedTasks item : unplaced) {
        if (mayPreempt(item.job())) {
          reserveCapacity(item);
        }
      }
      return victims;
    }

    private boolean mayPreempt(Job job) {
      JobSpec spec = job.spec();
      boolean independent =
          spec.jobKind() != JobKind.GANG && !spec.sameZone() && !spec.spreadZones();
      return independent
          && !job.backoff().failsRepeatedly()
          && lowest != null
          && spec.priority().outranks(lowest);
    }

    private void reserveCapacity(UnplacedTasks item) {
      String equivalenceKey = SortFirstFit.equivalenceKey(item.job().spec());
      if (unplaceable.contains(equivalenceKey)) {
        return;
      }
      for (int i = 0; i < item.tasks() && victims.size() < MAX_VICTIMS_PER_PASS; i++) {
        if (!reserveCapacityForTask(item.job())) {
          unplaceable.add(equivalenceKey);
          return;
        }
      }
    }

    /**
     * Reserves capacity for one task, choosing victims if necessary. Returns false if no machine
     * has enough of them.
     */
    private boolean reserveCapacityForTask(Job job) {
      JobSpec spec = job.spec();
      Predicate<Machine> eligible = eligibleMachines(job);
      List<Machine> candidates = new ArrayList<>();
      for (Machine machine : clusterState.sortedMachines().machines()) {
        if (eligible.test(machine)) {
          FreeCapacity free =
              freeCapacities.computeIfAbsent(machine, Preemption::capacityAfterStops);
          if (free.covers(spec)) {
            free.allocate(spec);
            return true;
          }
          if (machine.hasTaskOfLowerPriority(spec.priority())) {
            candidates.add(machine);
          }
        }
      }
      return candidates.stream().anyMatch(machine -> chooseVictims(machine, spec));
    }

    /**
     * Returns a filter for the machines that placement would consider for the job. On any other
     * machine, tasks would be stopped to no effect, and again in every pass.
     */
    private Predicate<Machine> eligibleMachines(Job job) {
      // Tasks that may run on spot machines must leave headroom for services on on-demand machines,
      // and preemption does not create headroom.
      boolean spotOnly = ServiceHeadroom.appliesTo(job.spec());
      Predicate<Machine> allowed = MachineFilter.forJob(job, false, nowMicros);
      return machine ->
          machine.schedulable() && (machine.spot() || !spotOnly) && allowed.test(machine);
    }

    /**
     * Chooses as few tasks of lower priority as free enough capacity, last bound first; chooses
     * none and returns false if all of them are not enough.
     */
    private boolean chooseVictims(Machine machine, JobSpec spec) {
      FreeCapacity freed = freeCapacities.get(machine).copy();
      List<Task> chosen = new ArrayList<>();
      for (Task task : preemptible(machine, spec.priority())) {
        chosen.add(task);
        freed.deallocate(task.spec());
        if (freed.covers(spec)) {
          freed.allocate(spec);
          freeCapacities.put(machine, freed);
          victims.addAll(chosen);
          return true;
        }
      }
      return false;
    }

    /**
     * Returns the machine's tasks of lower priority that are not being stopped yet, last bound
     * first.
     */
    private List<Task> preemptible(Machine machine, Priority priority) {
      List<Task> tasks = new ArrayList<>();
      for (Task task : machine.tasks()) {
        if (priority.outranks(task.spec().priority())
            && task.phase() != TaskPhase.STOPPING
            && !victims.contains(task)) {
          tasks.add(task);
        }
      }
      tasks.sort(Comparator.comparingLong(Task::boundAt).reversed());
      return tasks;
    }
  }

  /** Returns the free capacity of the machine once the tasks that are being stopped are gone. */
  private static FreeCapacity capacityAfterStops(Machine machine) {
    FreeCapacity free = FreeCapacity.free(machine);
    for (Task task : machine.tasks()) {
      if (task.phase() == TaskPhase.STOPPING) {
        free.deallocate(task.spec());
      }
    }
    return free;
  }
}
