package org.dewreach.controller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.job.Job;
import org.dewreach.machine.Machine;
import org.dewreach.placement.Room;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.task.Task;
import org.dewreach.task.TaskPhase;
import org.dewreach.wire.JobRequest;
import org.dewreach.wire.Shape;
import org.dewreach.wire.TaskName;
import org.dewreach.wire.Urgency;

/**
 * Makes room for more urgent work that fits nowhere by stopping less urgent tasks.
 *
 * <p>Machines are walked in the order of the list. Room that is being freed already is counted, so
 * that one need does not stop tasks twice.
 */
final class Preemption {
  /** Bounds what one pass may stop; the next pass goes on. */
  private static final int MOST_STOPPED = 24;

  /** It looks at all machines, so not in each pass. */
  private static final long EVERY = 200_000;

  private final Books books;
  private long nextAt;

  Preemption(Books books) {
    this.books = books;
  }

  void makeRoom(List<Dispatcher.Waiting> waiting, long nowMicros) {
    if (waiting.isEmpty() || nowMicros < nextAt) {
      return;
    }
    nextAt = nowMicros + EVERY;
    Urgency least = leastBound();
    Map<Machine, Room> rooms = new HashMap<>();
    Set<Task> chosen = new LinkedHashSet<>();
    // What found no room will find none for another task of the same size and places either.
    Set<String> hopeless = new HashSet<>();
    for (Dispatcher.Waiting item : waiting) {
      JobRequest spec = item.job().spec();
      boolean alone = spec.shape() != Shape.GANG && !spec.together() && !spec.scatter();
      if (!alone || least == null || !spec.urgency().above(least)) {
        continue;
      }
      String likeness = SortFirstFit.likeness(spec);
      if (hopeless.contains(likeness)) {
        continue;
      }
      for (int i = 0; i < item.tasks() && chosen.size() < MOST_STOPPED; i++) {
        if (!find(item.job(), rooms, chosen, nowMicros)) {
          hopeless.add(likeness);
          break;
        }
      }
    }
    for (Task task : chosen) {
      books.stop(task, "room for more urgent work", nowMicros);
    }
    if (!chosen.isEmpty()) {
      books.touch();
    }
  }

  /** The least urgency that has tasks on machines, or null. */
  private Urgency leastBound() {
    Urgency least = null;
    for (Job job : books.jobs().values()) {
      if (!job.bound().isEmpty() && (least == null || least.above(job.spec().urgency()))) {
        least = job.spec().urgency();
      }
    }
    return least;
  }

  /** Sets room for one task aside, choosing tasks to stop where it needs them. */
  private boolean find(Job job, Map<Machine, Room> rooms, Set<Task> chosen, long nowMicros) {
    JobRequest spec = job.spec();
    // Machines that placement would pass over must not lose tasks for nothing, pass after pass.
    TaskName next = new TaskName(job.id(), Math.max(0, job.nextPending()));
    // On ordinary machines such work also leaves room for services, which stopping does not make.
    boolean spotOnly = Dispatcher.yields(spec);
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : books.list().machines()) {
      if (machine.usable()
          && SortFirstFit.permitted(spec, machine)
          && (machine.spot() || !spotOnly)
          && !Dispatcher.refusedLately(machine, nowMicros)
          && !job.suspects(nowMicros).contains(machine.name())
          && !machine.hadDirectStart(next)) {
        Room room = rooms.computeIfAbsent(machine, Preemption::withFreed);
        if (room.covers(spec)) {
          room.take(spec);
          return true;
        }
        if (machine.hasLessUrgent(spec.urgency())) {
          candidates.add(machine);
        }
      }
    }
    for (Machine machine : candidates) {
      List<Task> victims = victims(machine, spec, rooms.get(machine), chosen);
      if (!victims.isEmpty()) {
        Room room = rooms.get(machine);
        victims.forEach(task -> room.add(task.spec()));
        room.take(spec);
        chosen.addAll(victims);
        return true;
      }
    }
    return false;
  }

  private static Room withFreed(Machine machine) {
    Room room = Room.free(machine);
    for (Task task : machine.tasks()) {
      if (task.phase() == TaskPhase.STOPPING) {
        room.add(task.spec());
      }
    }
    return room;
  }

  /** The fewest, latest started of the machine's less urgent tasks that make room, or none. */
  private static List<Task> victims(Machine machine, JobRequest spec, Room room, Set<Task> chosen) {
    List<Task> less = new ArrayList<>();
    for (Task task : machine.tasks()) {
      if (spec.urgency().above(task.spec().urgency())
          && task.phase() != TaskPhase.STOPPING
          && !chosen.contains(task)) {
        less.add(task);
      }
    }
    less.sort(Comparator.comparingLong(Task::boundAt).reversed());
    Room freed = room.copy();
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
