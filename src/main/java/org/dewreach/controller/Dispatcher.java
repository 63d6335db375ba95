package org.dewreach.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.dewreach.job.Job;
import org.dewreach.machine.Machine;
import org.dewreach.placement.QueueOrder;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.task.Task;
import org.dewreach.task.TaskPhase;
import org.dewreach.wire.JobRequest;

/** Walks the queue and places what fits. A job that does not fit does not stop those behind it. */
final class Dispatcher {
  private static final long REFUSAL_PAUSE = 3_000_000;

  /** Bounds the work of one pass; what is left is placed in the next. */
  private static final int MOST_PLACED = 400;

  /**
   * What is waiting after a pass.
   *
   * @param job the job
   * @param tasks tasks that its team may start now and that fit nowhere
   */
  record Waiting(Job job, int tasks) {}

  private final Books books;
  private final QueueOrder order;

  Dispatcher(Books books, QueueOrder order) {
    this.books = books;
    this.order = order;
  }

  /**
   * One pass.
   *
   * @param recovered false while some machine of an earlier term was not heard: then only jobs of
   *     this term are started, and all that may run of earlier ones counts against the quotas
   */
  List<Waiting> pass(long nowMicros, boolean recovered) {
    List<Waiting> waiting = new ArrayList<>();
    List<Job> queue = new ArrayList<>();
    Map<Job, Integer> reserved = new HashMap<>();
    for (Job job : books.jobs().values()) {
      if (!recovered && !job.ofThisTerm()) {
        // It may run unseen: nothing of it is started, and all of it counts.
        int unseen = job.spec().tasks() - job.doneCount() - job.bound().size();
        if (unseen > 0) {
          books.quotas().add(job.spec(), unseen);
          reserved.put(job, unseen);
        }
      }
    }
    for (Job job : order.order(books.jobs().values())) {
      if (job.startable() && !reserved.containsKey(job) && (recovered || job.ofThisTerm())) {
        queue.add(job);
      }
    }
    Set<String> full = new HashSet<>();
    int placed = 0;
    for (Job job : queue) {
      int pending = job.pending();
      if (pending == 0 || job.notBefore() > nowMicros) {
        continue;
      }
      int room = books.quotas().room(job.spec(), pending);
      if (room == 0) {
        continue;
      }
      int started = 0;
      if (placed < MOST_PLACED && !full.contains(likeness(job))) {
        started = place(job, Math.min(room, MOST_PLACED - placed), nowMicros);
        placed += started;
      }
      if (started < room) {
        full.add(likeness(job));
        waiting.add(new Waiting(job, room - started));
      }
    }
    reserved.forEach((job, unseen) -> books.quotas().add(job.spec(), -unseen));
    if (placed >= MOST_PLACED) {
      books.touch();
    }
    return waiting;
  }

  /** Jobs with the same likeness fit on the same machines. */
  private static String likeness(Job job) {
    JobRequest spec = job.spec();
    if (spec.together() || spec.scatter() || !job.suspects().isEmpty()) {
      return job.id();
    }
    return spec.cpus() + "|" + spec.gpus() + "|" + spec.memoryGb() + "|" + spec.types() + "|"
        + spec.zone() + "|" + spec.spot();
  }

  private int place(Job job, int room, long nowMicros) {
    JobRequest spec = job.spec();
    if (spec.together() && spec.tasks() > 1) {
      return placeTogether(job, room, nowMicros);
    }
    int most = spec.scatter() ? (spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
    int placed = 0;
    while (placed < room) {
      int index = job.nextPending();
      Machine machine =
          index < 0
              ? null
              : books
                  .list()
                  .firstFit(
                      spec,
                      allowed(job, nowMicros)
                          .and(m -> most == Integer.MAX_VALUE || inZone(job, m.zone()) < most));
      if (machine == null) {
        break;
      }
      books.bind(job, index, books.nextAttempt(), machine, TaskPhase.ASSIGNED, nowMicros);
      placed++;
    }
    return placed;
  }

  private Predicate<Machine> allowed(Job job, long nowMicros) {
    return machine ->
        SortFirstFit.permitted(job.spec(), machine)
            && nowMicros - machine.refusedAt() > REFUSAL_PAUSE
            && !job.suspects().contains(machine.name());
  }

  private static int inZone(Job job, String zone) {
    int count = 0;
    for (Task task : job.bound().values()) {
      if (task.machine().zone().equals(zone)) {
        count++;
      }
    }
    return count;
  }

  /**
   * A job whose tasks must share a zone. The zone is where its bound tasks are; else the first, in
   * the order of the list, in which all of it fits. A service is placed whole or not at all.
   */
  private int placeTogether(Job job, int room, long nowMicros) {
    List<String> zones = new ArrayList<>();
    if (!job.bound().isEmpty()) {
      zones.add(job.bound().values().iterator().next().machine().zone());
    } else {
      for (Machine machine : books.list().machines()) {
        if (!zones.contains(machine.zone())) {
          zones.add(machine.zone());
        }
      }
    }
    boolean whole =
        job.bound().isEmpty() && job.spec().shape() == org.dewreach.wire.Shape.SERVICE;
    int wanted = job.pending();
    if (whole && room < wanted) {
      return 0;
    }
    List<Task> best = List.of();
    for (String zone : zones) {
      List<Task> placed = new ArrayList<>();
      while (placed.size() < Math.min(room, wanted)) {
        int index = job.nextPending();
        Machine machine =
            books
                .list()
                .firstFit(
                    job.spec(), allowed(job, nowMicros).and(m -> m.zone().equals(zone)));
        if (index < 0 || machine == null) {
          break;
        }
        placed.add(
            books.bind(job, index, books.nextAttempt(), machine, TaskPhase.ASSIGNED, nowMicros));
      }
      if (placed.size() == wanted || !whole && !placed.isEmpty()) {
        best = placed;
        break;
      }
      // No start was sent for any of these: they are taken back in the record.
      placed.forEach(task -> books.unbind(task, "does not fit whole", nowMicros));
    }
    return best.size();
  }
}
