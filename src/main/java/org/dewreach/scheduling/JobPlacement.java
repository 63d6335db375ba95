package org.dewreach.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.TaskName;

/** One attempt to place tasks of one job. */
final class JobPlacement {
  /** Tasks that are passed over, each for its earlier direct start, for one that fits. */
  private static final int MAX_PASSED_OVER = 20;

  private final ClusterState clusterState;
  private final ServiceHeadroom headroom;
  private final Job job;
  private final JobSpec spec;
  private final boolean gang;
  private final boolean exemptFromHeadroom;
  private final long startWithinMicros;
  private final long nowMicros;
  private boolean blockedByDirectStart;

  /**
   * An attempt that has placed nothing yet.
   *
   * @param startWithinMicros how soon the tasks are to start, or 0
   */
  JobPlacement(
      ClusterState clusterState,
      ServiceHeadroom headroom,
      Job job,
      boolean exemptFromHeadroom,
      long startWithinMicros,
      long nowMicros) {
    this.clusterState = clusterState;
    this.headroom = headroom;
    this.job = job;
    this.spec = job.spec();
    this.gang = spec.jobKind() == JobKind.GANG;
    this.exemptFromHeadroom = exemptFromHeadroom;
    this.startWithinMicros = startWithinMicros;
    this.nowMicros = nowMicros;
  }

  /**
   * True if all of the job is placed at once or nothing: stopping short of a whole gang would only
   * make the others wait; the same holds for a service whose replicas need each other's zone.
   */
  static boolean isAllOrNothing(Job job) {
    JobSpec spec = job.spec();
    return spec.jobKind() == JobKind.GANG
        || spec.sameZone() && spec.jobKind() == JobKind.SERVICE && job.boundTasks().isEmpty();
  }

  /** True if a task would have found room but for its earlier direct start on that machine. */
  boolean blockedByDirectStart() {
    return blockedByDirectStart;
  }

  /** Places at most so many of the pending tasks, and tells how many. */
  int place(int most) {
    int pending = job.pendingCount();
    boolean allOrNothing = isAllOrNothing(job);
    boolean runs = gang && !job.boundTasks().isEmpty();
    if (runs || allOrNothing && most < pending) {
      return 0;
    }
    for (String zone : zones()) {
      List<Task> placed = place(Math.min(most, pending), zone);
      if (placed.size() == pending || !allOrNothing && !placed.isEmpty()) {
        return placed.size();
      }
      // No start was sent for any of these: they are taken back in the cluster state.
      placed.forEach(task -> clusterState.unbind(task, "does not fit whole", nowMicros));
    }
    return 0;
  }

  /**
   * The zones to try one after the other; null stands for all of them together. A job whose tasks
   * must share a zone stays where its bound tasks are, or takes the zones in the order of the list.
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
    List<Task> placed = new ArrayList<>();
    // The tasks of a gang find each other by their attempt: it is one for all of them.
    long gangAttempt = gang ? clusterState.nextAttempt() : 0;
    int passedOver = 0;
    int index = job.nextPending();
    while (placed.size() < count && index >= 0) {
      DirectStartFilter neverStarted = new DirectStartFilter(new TaskName(job.id(), index));
      Machine machine =
          clusterState
              .sortedMachines()
              .firstFit(spec, allowed.and(neverStarted), startWithinMicros);
      if (machine == null) {
        blockedByDirectStart |= neverStarted.excludedAny;
        // Guards against one task that may not go there again keeping its job, and all like it,
        // away.
        if (!neverStarted.excludedAny || ++passedOver > MAX_PASSED_OVER) {
          break;
        }
      } else {
        boolean exempt = exemptFromHeadroom && (gang || placed.isEmpty());
        if (!headroom.take(machine, spec, exempt)) {
          break;
        }
        long attempt = gang ? gangAttempt : clusterState.nextAttempt();
        placed.add(clusterState.bind(job, index, attempt, machine, TaskPhase.ASSIGNED, nowMicros));
      }
      index = job.pendingAfter(index);
    }
    return placed;
  }

  private Predicate<Machine> allowedMachines(String zone) {
    Predicate<Machine> allowed = MachineFilter.forJob(job, nowMicros);
    if (zone != null) {
      allowed = allowed.and(machine -> machine.zone().equals(zone));
    }
    if (spec.spreadZones()) {
      int mostInZone = (spec.tasks() + 1) / 2;
      allowed = allowed.and(machine -> job.boundCountInZone(machine.zone()) < mostInZone);
    }
    return allowed;
  }

  /**
   * Leaves out machines where the task had a direct start, and remembers whether there were any.
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
