package org.dewreach.model;

import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMaps;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.BitSet;
import java.util.Collections;
import java.util.Map;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.JobState;

/** A job that has not ended, as the leader knows it. */
public final class Job {
  private final JobSpec spec;
  private final long acceptedWallMicros;
  private final boolean addedThisTerm;
  private final BitSet doneTasks = new BitSet();
  private final Int2ObjectMap<Task> boundTasks = new Int2ObjectLinkedOpenHashMap<>();
  private final StoredJobState storedState = new StoredJobState();
  private final RetryBackoff backoff = new RetryBackoff();
  private JobPhase phase;
  private JobState finalState;
  private long cancelRequestedAt;
  private long cancelledAt = Long.MIN_VALUE / 2;
  private long lastBoundAt = Long.MIN_VALUE / 2;

  /** The index at which the search for the next pending task begins; the search wraps around. */
  private int nextPendingFrom;

  private int doneCount;

  /** The number of bound tasks that are not done. */
  private int boundNotDoneCount;

  private final Object2IntOpenHashMap<String> boundCountByZone = new Object2IntOpenHashMap<>();

  /**
   * Creates a job without bound tasks.
   *
   * @param acceptedWallMicros the wall-clock time of its submission
   * @param addedThisTerm true if it was submitted or imported under the current term, so that no
   *     earlier leader can have started any of its tasks
   */
  public Job(JobSpec spec, long acceptedWallMicros, boolean addedThisTerm, JobPhase phase) {
    this.spec = spec;
    this.acceptedWallMicros = acceptedWallMicros;
    this.addedThisTerm = addedThisTerm;
    this.phase = phase;
  }

  /** Changes the phase. No other method does, and transitions that are not allowed are rejected. */
  public void changePhase(JobPhase next) {
    boolean allowed =
        switch (next) {
          case PERSISTING -> false;
          case ACTIVE -> phase == JobPhase.PERSISTING;
          case CANCEL_REQUESTED -> phase == JobPhase.ACTIVE;
          case CANCEL_COMMITTING -> phase == JobPhase.CANCEL_REQUESTED;
          // A job that was accepted without a leader may have been cancelled before its import.
          case CANCELLED -> phase == JobPhase.CANCEL_COMMITTING || phase == JobPhase.PERSISTING;
          case FINALIZING -> mayStillComplete() || phase == JobPhase.CANCELLED;
          case ENDED -> phase == JobPhase.FINALIZING;
        };
    if (!allowed) {
      throw new IllegalStateException(id() + " cannot change from " + phase + " to " + next);
    }
    if (next == JobPhase.FINALIZING) {
      finalState = phase == JobPhase.CANCELLED ? JobState.CANCELLED : JobState.DONE;
    }
    phase = next;
  }

  /** True while the job may still end as done. */
  public boolean mayStillComplete() {
    return phase == JobPhase.ACTIVE || phase == JobPhase.CANCEL_REQUESTED;
  }

  /** Returns the state in which the job ends, or null before it is being finalized. */
  public JobState finalState() {
    return finalState;
  }

  /** Returns the job's id. */
  public String id() {
    return spec.id();
  }

  /** Returns the job's specification. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns the job's phase. */
  public JobPhase phase() {
    return phase;
  }

  /** Returns the wall-clock time of the job's submission. */
  public long acceptedWallMicros() {
    return acceptedWallMicros;
  }

  /**
   * True if the job was submitted or imported under the current term, so that no earlier leader can
   * have started any of its tasks.
   */
  public boolean addedThisTerm() {
    return addedThisTerm;
  }

  /** Returns what the key-value store holds of the job. */
  public StoredJobState storedState() {
    return storedState;
  }

  /** Returns when and where the job's tasks are retried after failures. */
  public RetryBackoff backoff() {
    return backoff;
  }

  /** Returns when a user requested the job's cancellation, or 0 if none did under this leader. */
  public long cancelRequestedAt() {
    return cancelRequestedAt;
  }

  /** Sets when a user requested the job's cancellation. */
  public void cancelRequestedAt(long micros) {
    cancelRequestedAt = micros;
  }

  /**
   * Returns the earliest time at which the cancellation may have been confirmed to the user. The
   * value lies far in the past unless the cancellation was written under this leader.
   */
  public long cancelledAt() {
    return cancelledAt;
  }

  /** Sets the earliest time at which the cancellation may have been confirmed to the user. */
  public void cancelledAt(long micros) {
    cancelledAt = micros;
  }

  /**
   * Returns the indexes of the completed tasks. Read-only for callers: {@link #markDone} changes
   * them.
   */
  public BitSet doneTasks() {
    return doneTasks;
  }

  /** Returns the number of tasks that are done. */
  public int doneCount() {
    return doneCount;
  }

  /** Marks a task as done. Returns false if it was marked before or the job has no such task. */
  public boolean markDone(int index) {
    if (index >= spec.tasks() || doneTasks.get(index)) {
      return false;
    }
    doneTasks.set(index);
    doneCount++;
    if (boundTasks.containsKey(index)) {
      boundNotDoneCount--;
    }
    return true;
  }

  /** Restores the tasks that are done according to the stored record, when the job is loaded. */
  public void restoreProgress(BitSet saved) {
    doneTasks.or(saved);
    doneCount = doneTasks.cardinality();
    storedState.doneTasks((BitSet) saved.clone());
  }

  /** True if every task is done; a service never is. */
  public boolean allTasksDone() {
    return spec.jobKind() != JobKind.SERVICE && doneCount >= spec.tasks();
  }

  /**
   * Returns a read-only view of the bound tasks by index; {@link #bind} and {@link #unbind} change
   * them.
   */
  public Int2ObjectMap<Task> boundTasks() {
    return Int2ObjectMaps.unmodifiable(boundTasks);
  }

  /** True if any task of the job is bound to a machine. */
  public boolean hasBoundTasks() {
    return !boundTasks.isEmpty();
  }

  /** Binds a task to its machine. */
  public void bind(Task task) {
    if (boundTasks.put(task.index(), task) != null) {
      throw new IllegalStateException(task.name() + " is already bound");
    }
    boundNotDoneCount += doneTasks.get(task.index()) ? 0 : 1;
    boundCountByZone.addTo(task.machine().zone(), 1);
    lastBoundAt = Math.max(lastBoundAt, task.boundAt());
  }

  /**
   * Returns when a task of the job was last bound to a machine; far in the past if none was in this
   * term.
   */
  public long lastBoundAt() {
    return lastBoundAt;
  }

  /** Unbinds a task, which is pending again unless it is done. */
  public void unbind(Task task) {
    boundTasks.remove(task.index());
    boundNotDoneCount -= doneTasks.get(task.index()) ? 0 : 1;
    boundCountByZone.addTo(task.machine().zone(), -1);
    nextPendingFrom = Math.min(nextPendingFrom, task.index());
  }

  /** True if a bound task has not been seen to start; it may still start while it is bound. */
  public boolean hasTaskNotStarted() {
    return boundTasks.values().stream().anyMatch(task -> !task.hasStarted());
  }

  /** Returns the number of tasks that are bound to machines in the zone. */
  public int boundCountInZone(String zone) {
    return boundCountByZone.getInt(zone);
  }

  /** Returns a read-only view of the number of bound tasks by zone. */
  public Map<String, Integer> boundCountByZone() {
    return Collections.unmodifiableMap(boundCountByZone);
  }

  /**
   * Returns the number of tasks that are neither done nor bound to a machine. It is derived from
   * counters, because every placement pass reads it.
   */
  public int pendingCount() {
    return spec.tasks() - doneCount - boundNotDoneCount;
  }

  /** Returns the lowest index of a task that is neither done nor bound, or -1 if there is none. */
  public int nextPending() {
    int next = pendingAfter(nextPendingFrom - 1);
    if (next < 0) {
      next = pendingAfter(-1);
    }
    nextPendingFrom = Math.max(0, next);
    return next;
  }

  /**
   * Returns the lowest index above the given one of a task that is neither done nor bound, or -1 if
   * there is none.
   */
  public int pendingAfter(int index) {
    for (int i = index + 1; i < spec.tasks(); i++) {
      if (!doneTasks.get(i) && !boundTasks.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  /** True while the job's tasks may be started. */
  public boolean startable() {
    return phase == JobPhase.ACTIVE;
  }

  /** Returns the job's state as it is reported to users. */
  public JobState jobState() {
    return switch (phase) {
      case CANCELLED -> JobState.CANCELLED;
      case FINALIZING -> finalState == JobState.CANCELLED ? finalState : unfinishedState();
      case ENDED -> finalState;
      case PERSISTING, ACTIVE, CANCEL_REQUESTED, CANCEL_COMMITTING -> unfinishedState();
    };
  }

  private JobState unfinishedState() {
    return doneCount > 0 || runningCount() > 0 ? JobState.RUNNING : JobState.PENDING;
  }

  /** Returns the number of bound tasks that are running or being stopped. */
  public int runningCount() {
    int running = 0;
    for (Task task : boundTasks.values()) {
      switch (task.phase()) {
        case RUNNING, STOPPING -> running++;
        default -> {
          // not running yet, or no longer running
        }
      }
    }
    return running;
  }
}
