package org.dewreach.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.placement.QueueOrder;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.TaskName;

/** Walks the queue and places what fits. A job that does not fit does not stop those behind it. */
public final class TaskPlacer {
  private static final long REFUSAL_PAUSE_MICROS = 3_000_000;

  /** Tasks of a job that are passed over, each for its earlier direct start, for one that fits. */
  private static final int MAX_PASSED_OVER = 20;

  /**
   * A job that has waited for its first task for this long gets that from the room kept for
   * services. A default of this project.
   */
  private static final long RESERVED_CAPACITY_AFTER_MICROS = 60_000_000;

  /** A task of a doubtful job is given this long to fail before the next is started. A default. */
  private static final long TRIAL_MICROS = 30_000_000;

  /** Bounds the work of one pass; what is left is placed in the next. */
  private static final int MAX_PLACED = 400;

  /**
   * What is waiting after a pass.
   *
   * @param job the job
   * @param tasks tasks that its team may start now and that fit nowhere
   */
  public record Waiting(Job job, int tasks) {}

  private final ClusterState clusterState;
  private final QueueOrder order;
  private final long wallOffsetMicros;
  private final Map<String, Long> startWithin = new HashMap<>();
  private double headroom;
  private double ordinaryFree;

  /** True if what was placed last would have found room but for a task's earlier direct start. */
  private boolean barred;

  public TaskPlacer(
      ClusterState clusterState,
      QueueOrder order,
      List<Settings.Objective> objectives,
      Tuning tuning,
      long wallOffsetMicros) {
    this.wallOffsetMicros = wallOffsetMicros;
    this.clusterState = clusterState;
    this.order = order;
    for (Settings.Objective objective : objectives) {
      if (objective.kind().equals("wait") && objective.lane() != null) {
        startWithin.merge(objective.lane(), objective.withinMicros(), Math::min);
      }
    }
    startWithin.putAll(tuning.startWithinMicros());
  }

  /**
   * One pass.
   *
   * @param bootMicros time that a new machine takes; room is kept for services that come meanwhile
   * @param allSeen false for jobs of which tasks may run unseen, as long as some machine of an
   *     earlier term is not accounted for: of these nothing is started, and all of it counts
   */
  public List<Waiting> pass(long nowMicros, Predicate<Job> allSeen, long bootMicros) {
    List<Waiting> waiting = new ArrayList<>();
    Map<Job, Integer> reserved = new HashMap<>();
    for (Job job : clusterState.jobs().values()) {
      if (!allSeen.test(job)) {
        int unseen = job.pending();
        if (unseen > 0) {
          clusterState.quotas().add(job.spec(), unseen);
          reserved.put(job, unseen);
        }
      }
    }
    List<Job> queue =
        order.order(
            clusterState.jobs().values(),
            job -> job.startable() && job.pending() > 0 && !reserved.containsKey(job),
            nowMicros + wallOffsetMicros);
    clusterState.list().lookAgain();
    headroom = clusterState.services().headroomCpus(bootMicros, nowMicros);
    boolean measured = false;
    Set<String> full = new HashSet<>();
    int placed = 0;
    for (Job job : queue) {
      if (!measured && job.spec().spot()) {
        // Services come first in the queue, so what they take is gone from this already.
        ordinaryFree = clusterState.freeCpus(false);
        measured = true;
      }
      if (job.backoff().notBefore() > nowMicros || onTrial(job, nowMicros)) {
        continue;
      }
      int freeCapacity = clusterState.quotas().freeCapacity(job.spec(), job.pending());
      if (freeCapacity == 0) {
        continue;
      }
      int started = 0;
      if (placed < MAX_PLACED && !full.contains(likeness(job, nowMicros))) {
        // A gang larger than a pass has to be placed in one all the same.
        boolean gang = job.spec().jobKind() == JobKind.GANG;
        int most = gang ? freeCapacity : Math.min(freeCapacity, MAX_PLACED - placed);
        // Guards against replicas that need each other's zone and lost it late: never one alone.
        boolean one =
            job.backoff().failsRepeatedly()
                || QueueOrder.toBegin(job, nowMicros + wallOffsetMicros);
        if (one && !whole(job)) {
          most = 1;
        }
        started = place(job, most, nowMicros);
        placed += started;
      }
      // Nothing is rented, and nobody stopped, for a job that fails everywhere.
      if (started < freeCapacity && !job.backoff().failsRepeatedly()) {
        if (started == 0 && !barred) {
          full.add(likeness(job, nowMicros));
        }
        waiting.add(new Waiting(job, freeCapacity - started));
      }
    }
    reserved.forEach((job, unseen) -> clusterState.quotas().add(job.spec(), -unseen));
    if (placed >= MAX_PLACED) {
      clusterState.requestPlacement();
    }
    return waiting;
  }

  /**
   * True while a task that was bound lately shows whether a doubtful job still fails.
   *
   * <p>Guards against a job that fails everywhere, but only after a while: given one task in each
   * pass, it held ever more room until the first of them failed. And against an array of long tasks
   * that met two faulty machines: its other tasks do not wait until one of them has completed.
   */
  private static boolean onTrial(Job job, long nowMicros) {
    return job.backoff().failsRepeatedly()
        && job.bound().values().stream()
            .anyMatch(task -> nowMicros - task.boundAt() < TRIAL_MICROS);
  }

  /** Jobs with the same likeness fit on the same machines. */
  private String likeness(Job job, long nowMicros) {
    JobSpec spec = job.spec();
    boolean special = spec.sameZone() || spec.spreadZones() || spec.jobKind() == JobKind.GANG;
    if (special
        || !job.backoff().avoidedMachines(nowMicros).isEmpty()
        || keptFrom(job, nowMicros)) {
      return job.id();
    }
    return SortFirstFit.likeness(spec) + yields(spec);
  }

  /**
   * Guards against a small job that waits without end beside room kept for services, where the
   * cloud has no machine for it.
   */
  private boolean keptFrom(Job job, long nowMicros) {
    return yields(job.spec())
        && job.doneCount() == 0
        && !job.hasBound()
        && nowMicros + wallOffsetMicros - job.acceptedWallMicros() > RESERVED_CAPACITY_AFTER_MICROS;
  }

  /**
   * True if all of it is placed at once or nothing: stopping short of a whole gang would only make
   * the others wait; the same holds for a service whose replicas need each other's zone.
   */
  private static boolean whole(Job job) {
    JobSpec spec = job.spec();
    return spec.jobKind() == JobKind.GANG
        || spec.sameZone() && spec.jobKind() == JobKind.SERVICE && job.bound().isEmpty();
  }

  private int place(Job job, int freeCapacity, long nowMicros) {
    JobSpec spec = job.spec();
    int wanted = job.pending();
    boolean whole = whole(job);
    barred = false;
    if (whole && freeCapacity < wanted
        || spec.jobKind() == JobKind.GANG && !job.bound().isEmpty()) {
      return 0;
    }
    for (String zone : zones(job)) {
      List<Task> placed = fit(job, Math.min(freeCapacity, wanted), zone, nowMicros);
      if (placed.size() == wanted || !whole && !placed.isEmpty()) {
        return placed.size();
      }
      // No start was sent for any of these: they are taken back in the record.
      placed.forEach(task -> clusterState.unbind(task, "does not fit whole", nowMicros));
    }
    return 0;
  }

  /**
   * The zones to try one after the other; null stands for all of them together. A job whose tasks
   * must share a zone stays where its bound tasks are, or takes the zones in the order of the list.
   */
  private List<String> zones(Job job) {
    if (!job.spec().sameZone() || job.spec().tasks() == 1) {
      return Collections.singletonList(null);
    }
    if (!job.bound().isEmpty()) {
      return List.of(job.bound().values().iterator().next().machine().zone());
    }
    List<String> zones = new ArrayList<>();
    for (Machine machine : clusterState.list().machines()) {
      if (!zones.contains(machine.zone())) {
        zones.add(machine.zone());
      }
    }
    return zones;
  }

  private List<Task> fit(Job job, int count, String zone, long nowMicros) {
    JobSpec spec = job.spec();
    int most = spec.spreadZones() ? (spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
    Predicate<Machine> allowed = allowed(job, nowMicros);
    if (zone != null) {
      allowed = allowed.and(machine -> machine.zone().equals(zone));
    }
    if (spec.spreadZones()) {
      allowed = allowed.and(machine -> job.boundInZone(machine.zone()) < most);
    }
    List<Task> placed = new ArrayList<>();
    long within = startWithin.getOrDefault(spec.jobClass(), 0L);
    // The tasks of a gang find each other by their attempt: it is one for all of them.
    long gangAttempt = spec.jobKind() == JobKind.GANG ? clusterState.nextAttempt() : 0;
    boolean yields = yields(spec);
    boolean keptFrom = keptFrom(job, nowMicros);
    int passedOver = 0;
    int index = job.nextPending();
    while (placed.size() < count && index >= 0) {
      TaskName name = new TaskName(job.id(), index);
      boolean[] hasStartedTask = {false};
      Machine machine =
          clusterState
              .list()
              .firstFit(spec, allowed.and(m -> !barred(m, name, hasStartedTask)), within);
      if (machine == null) {
        barred |= hasStartedTask[0];
        if (!hasStartedTask[0] || ++passedOver > MAX_PASSED_OVER) {
          break;
        }
        // Guards against one task that may not go there again keeping its job, and all like it,
        // away.
        index = job.pendingAfter(index);
        continue;
      }
      if (yields && !machine.spot()) {
        boolean allowedIn = keptFrom && (placed.isEmpty() || spec.jobKind() == JobKind.GANG);
        if (ordinaryFree - spec.cpus() < headroom && !allowedIn) {
          break;
        }
        ordinaryFree -= spec.cpus();
      }
      long attempt = gangAttempt > 0 ? gangAttempt : clusterState.nextAttempt();
      placed.add(clusterState.bind(job, index, attempt, machine, TaskPhase.ASSIGNED, nowMicros));
      index = job.pendingAfter(index);
    }
    return placed;
  }

  private static boolean barred(Machine machine, TaskName name, boolean[] hasStartedTask) {
    boolean had = machine.directCommands().hasStartedTask(name);
    hasStartedTask[0] |= had;
    return had;
  }

  /** True for work that leaves room for services to come on ordinary machines. */
  static boolean yields(JobSpec spec) {
    return spec.jobKind() != JobKind.SERVICE && spec.spot();
  }

  static boolean refusedLately(Machine machine, long nowMicros) {
    return nowMicros - machine.startRefusedAt() <= REFUSAL_PAUSE_MICROS;
  }

  private Predicate<Machine> allowed(Job job, long nowMicros) {
    Set<String> suspects = job.backoff().avoidedMachines(nowMicros);
    return machine ->
        SortFirstFit.permitted(job.spec(), machine)
            && !refusedLately(machine, nowMicros)
            && !suspects.contains(machine.name());
  }
}
