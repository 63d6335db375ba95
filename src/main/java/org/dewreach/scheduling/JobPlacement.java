package org.dewreach.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.TaskName;

/** Places tasks of one job within a placement pass. */
final class JobPlacement {
  /**
   * Maximum number of tasks that are skipped, each because of its earlier direct start, in the
   * search for one that can be started directly.
   */
  private static final int MAX_SKIPPED_TASKS = 20;

  private final ClusterState clusterState;
  private final ServiceHeadroom headroom;
  private final Job job;
  private final JobSpec spec;
  private final boolean gang;
  private final boolean exemptFromHeadroom;
  private final boolean retryWhereFailed;
  private final long startWithinMicros;
  private final long nowMicros;

  /**
   * Creates a placement that has not placed anything yet.
   *
   * @param exemptFromHeadroom true if tasks may be placed in the headroom kept for services
   * @param retryWhereFailed true if tasks may be placed on machines on which the job failed
   *     recently
   * @param startWithinMicros the time within which the tasks are to start, or 0 for no limit
   */
  JobPlacement(
      ClusterState clusterState,
      ServiceHeadroom headroom,
      Job job,
      boolean exemptFromHeadroom,
      boolean retryWhereFailed,
      long startWithinMicros,
      long nowMicros) {
    this.clusterState = clusterState;
    this.headroom = headroom;
    this.job = job;
    this.spec = job.spec();
    this.gang = spec.jobKind() == JobKind.GANG;
    this.exemptFromHeadroom = exemptFromHeadroom;
    this.retryWhereFailed = retryWhereFailed;
    this.startWithinMicros = startWithinMicros;
    this.nowMicros = nowMicros;
  }

  /**
   * True if the job is placed as a whole or not at all. The tasks of a partly placed gang would
   * only wait for the others; the same holds for a service without bound replicas whose replicas
   * must share a zone.
   */
  static boolean isAllOrNothing(Job job) {
    JobSpec spec = job.spec();
    return spec.jobKind() == JobKind.GANG
        || spec.sameZone() && spec.jobKind() == JobKind.SERVICE && job.boundTasks().isEmpty();
  }

  /**
   * Places at most {@code maxTasks} of the pending tasks, and returns the number of those placed.
   */
  int place(int maxTasks) {
    int pending = job.pendingCount();
    boolean allOrNothing = isAllOrNothing(job);
    boolean gangAlreadyBound = gang && !job.boundTasks().isEmpty();
    if (gangAlreadyBound || allOrNothing && maxTasks < pending) {
      return 0;
    }
    for (String zone : zones()) {
      List<Task> placed = place(Math.min(maxTasks, pending), zone);
      if (placed.size() == pending || !allOrNothing && !placed.isEmpty()) {
        return placed.size();
      }
      // No start command was sent for these tasks, so unbinding them in the cluster state is
      // enough.
      placed.forEach(task -> clusterState.unbind(task, "the whole job does not fit", nowMicros));
    }
    return 0;
  }

  /**
   * Returns the zones to try one after the other; null means all zones together. A job whose tasks
   * must share a zone stays in the zone of its bound tasks, or else tries the zones in the order of
   * the machine list.
   */
  private List<String> zones() {
    if (!spec.sameZone() || spec.tasks() == 1) {
      return Collections.singletonList(null);
    }
    if (!job.boundTasks().isEmpty()) {
      return List.of(job.boundTasks().values().iterator().next().machine().zone());
    }
    List<String> zones = new ArrayList<>();
    for (Machine machine : clusterState.sortedMachines().machines()) {
      if (!zones.contains(machine.zone())) {
        zones.add(machine.zone());
      }
    }
    return zones;
  }

  private List<Task> place(int count, String zone) {
    Predicate<Machine> allowed = allowedMachines(zone);
    // The tasks of a gang find each other by their attempt number, so all of them share one.
    long gangAttempt = gang ? clusterState.nextAttempt() : 0;
    List<Task> placed = new ArrayList<>();
    boolean skippedAny = placeWhereNotStartedBefore(count, allowed, gangAttempt, placed);
    // The tasks of a gang need a new attempt in common, so none of them can run as an earlier one.
    if (skippedAny && !gang && placed.size() < count) {
      placeWhereStartedBefore(count, allowed, placed);
    }
    return placed;
  }

  /**
   * Places tasks on machines to which no direct start of them was sent in the present incarnation.
   *
   * @return true if a task was skipped that would have fit on another machine
   */
  private boolean placeWhereNotStartedBefore(
      int count, Predicate<Machine> allowed, long gangAttempt, List<Task> placed) {
    int skipped = 0;
    int index = job.nextPending();
    while (placed.size() < count && index >= 0) {
      TaskName task = new TaskName(job.id(), index);
      DirectStartFilter notStartedBefore = new DirectStartFilter(task);
      Machine machine = firstFit(allowed.and(notStartedBefore));
      if (machine == null) {
        // Continues with the next task, which may start at once where this one may not.
        if (!notStartedBefore.excludedAny || ++skipped > MAX_SKIPPED_TASKS) {
          return skipped > 0;
        }
      } else if (allocates(machine, placed)) {
        placed.add(bind(task, machine, gang ? gangAttempt : clusterState.nextAttempt()));
      } else {
        return false;
      }
      index = job.pendingAfter(index);
    }
    return skipped > 0;
  }

  /**
   * Places tasks on any allowed machine. A task takes two heartbeats to start where it was started
   * directly before.
   *
   * <p>Guards against a task that waits beside the only machine with free capacity because it was
   * stopped, refused or failed there before.
   */
  private void placeWhereStartedBefore(int count, Predicate<Machine> allowed, List<Task> placed) {
    int index = job.nextPending();
    while (placed.size() < count && index >= 0) {
      Machine machine = firstFit(allowed);
      if (machine == null || !allocates(machine, placed)) {
        return;
      }
      placed.add(bind(new TaskName(job.id(), index), machine, clusterState.nextAttempt()));
      index = job.pendingAfter(index);
    }
  }

  private Machine firstFit(Predicate<Machine> allowed) {
    return clusterState.sortedMachines().firstFit(spec, allowed, startWithinMicros);
  }

  private boolean allocates(Machine machine, List<Task> placed) {
    boolean exempt = exemptFromHeadroom && (gang || placed.isEmpty());
    return headroom.tryAllocate(machine, spec, exempt);
  }

  private Task bind(TaskName task, Machine machine, long newAttempt) {
    OptionalLong earlier = machine.directCommands().startedAttempt(task);
    return earlier.isPresent()
        ? clusterState.bindAgain(job, task.index(), earlier.getAsLong(), machine, nowMicros)
        : clusterState.bind(job, task.index(), newAttempt, machine, TaskPhase.ASSIGNED, nowMicros);
  }

  private Predicate<Machine> allowedMachines(String zone) {
    Predicate<Machine> allowed = MachineFilter.forJob(job, retryWhereFailed, nowMicros);
    if (zone != null) {
      allowed = allowed.and(machine -> machine.zone().equals(zone));
    }
    if (spec.spreadZones()) {
      int maxTasksPerZone = (spec.tasks() + 1) / 2;
      allowed = allowed.and(machine -> job.boundCountInZone(machine.zone()) < maxTasksPerZone);
    }
    return allowed;
  }

  /**
   * Excludes machines to whose worker a direct start of the task was sent in its current
   * incarnation, and records whether it excluded any.
   */
  private static final class DirectStartFilter implements Predicate<Machine> {
    private final TaskName task;
    private boolean excludedAny;

    DirectStartFilter(TaskName task) {
      this.task = task;
    }

    @Override
    public boolean test(Machine machine) {
      boolean excluded = machine.directCommands().hasStartedTask(task);
      excludedAny |= excluded;
      return !excluded;
    }
  }
}
