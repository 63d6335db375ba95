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

/** A job that is not over, as the leader knows it. */
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

  /** Where the search for the next pending task begins; it wraps around. */
  private int nextPendingFrom;

  private int doneCount;
  private int boundNotDone;
  private final Object2IntOpenHashMap<String> boundCountInZone = new Object2IntOpenHashMap<>();

  /**
   * A job.
   *
   * @param acceptedWallMicros time of day of its submission
   * @param addedThisTerm true if it was submitted under the current term, so that no earlier leader
   *     can have started any of its tasks
   */
  public Job(JobSpec spec, long acceptedWallMicros, boolean addedThisTerm, JobPhase phase) {
    this.spec = spec;
    this.acceptedWallMicros = acceptedWallMicros;
    this.addedThisTerm = addedThisTerm;
    this.phase = phase;
  }

  /** Changes the state; nothing else does. */
  public void become(JobPhase next) {
    boolean legal =
        switch (next) {
          case PERSISTING -> false;
          case ACTIVE -> phase == JobPhase.PERSISTING;
          case CANCEL_REQUESTED -> phase == JobPhase.ACTIVE;
          case CANCEL_COMMITTING -> phase == JobPhase.CANCEL_REQUESTED;
          // A job may have been cancelled before any leader knew of it.
          case CANCELLED -> phase == JobPhase.CANCEL_COMMITTING || phase == JobPhase.PERSISTING;
          case FINALIZING -> mayStillComplete() || phase == JobPhase.CANCELLED;
          case ENDED -> phase == JobPhase.FINALIZING;
        };
    if (!legal) {
      throw new IllegalStateException(id() + " cannot go from " + phase + " to " + next);
    }
    if (next == JobPhase.FINALIZING) {
      finalState = phase == JobPhase.CANCELLED ? JobState.CANCELLED : JobState.DONE;
    }
    phase = next;
  }

  /** True while it may still end as done. */
  public boolean mayStillComplete() {
    return phase == JobPhase.ACTIVE || phase == JobPhase.CANCEL_REQUESTED;
  }

  /** What it ends as, once it is being finalized; null before. */
  public JobState finalState() {
    return finalState;
  }

  /** Its id. */
  public String id() {
    return spec.id();
  }

  /** Its description. */
  public JobSpec spec() {
    return spec;
  }

  /** Its state. */
  public JobPhase phase() {
    return phase;
  }

  /** Time of day of its submission. */
  public long acceptedWallMicros() {
    return acceptedWallMicros;
  }

  /**
   * True if it was submitted under the current term, so that no earlier leader started any of it.
   */
  public boolean addedThisTerm() {
    return addedThisTerm;
  }

  /** What the key-value store holds of it. */
  public StoredJobState storedState() {
    return storedState;
  }

  /** When and where it is tried again after failures. */
  public RetryBackoff backoff() {
    return backoff;
  }

  /** When its user asked to cancel it; 0 if nobody did under this leader. */
  public long cancelRequestedAt() {
    return cancelRequestedAt;
  }

  /** Sets when its user asked to cancel it. */
  public void cancelRequestedAt(long micros) {
    cancelRequestedAt = micros;
  }

  /**
   * The earliest time at which its user may have been told that it is cancelled; long ago if that
   * was under an earlier leader.
   */
  public long cancelledAt() {
    return cancelledAt;
  }

  /** Sets when its user may have been told that it is cancelled. */
  public void cancelledAt(long micros) {
    cancelledAt = micros;
  }

  /** The completed tasks, for reading; {@link #markDone} changes them. */
  public BitSet doneTasks() {
    return doneTasks;
  }

  /** How many tasks are done. */
  public int doneCount() {
    return doneCount;
  }

  /** Marks a task as done; false if it was marked before. */
  public boolean markDone(int index) {
    if (index >= spec.tasks() || doneTasks.get(index)) {
      return false;
    }
    doneTasks.set(index);
    doneCount++;
    if (boundTasks.containsKey(index)) {
      boundNotDone--;
    }
    return true;
  }

  /** Sets the tasks that the stored record says are done, when the job is loaded. */
  public void restoreProgress(BitSet saved) {
    doneTasks.or(saved);
    doneCount = doneTasks.cardinality();
    storedState.doneTasks((BitSet) saved.clone());
  }

  /** True if every task is done; a service never is. */
  public boolean allTasksDone() {
    return spec.jobKind() != JobKind.SERVICE && doneCount >= spec.tasks();
  }

  /** The bound tasks, for reading; {@link #bind} and {@link #unbind} change them. */
  public Int2ObjectMap<Task> boundTasks() {
    return Int2ObjectMaps.unmodifiable(boundTasks);
  }

  /** True if a task is bound to a machine. */
  public boolean hasBoundTasks() {
    return !boundTasks.isEmpty();
  }

  /** Binds a task to its machine. */
  public void bind(Task task) {
    if (boundTasks.put(task.index(), task) != null) {
      throw new IllegalStateException(task.name() + " is bound already");
    }
    boundNotDone += doneTasks.get(task.index()) ? 0 : 1;
    boundCountInZone.addTo(task.machine().zone(), 1);
  }

  /** Unbinds a task; it is pending again unless it is done. */
  public void unbind(Task task) {
    boundTasks.remove(task.index());
    boundNotDone -= doneTasks.get(task.index()) ? 0 : 1;
    boundCountInZone.addTo(task.machine().zone(), -1);
    nextPendingFrom = Math.min(nextPendingFrom, task.index());
  }

  /** True if a bound task was not seen to have begun: it may yet, as long as it is bound. */
  public boolean hasTaskNotStarted() {
    return boundTasks.values().stream().anyMatch(task -> !task.hasStarted());
  }

  /** Tasks that are bound to machines of the zone. */
  public int boundCountInZone(String zone) {
    return boundCountInZone.getInt(zone);
  }

  /** The number of bound tasks in each zone, for reading. */
  public Map<String, Integer> boundCountByZone() {
    return Collections.unmodifiableMap(boundCountInZone);
  }

  /** Tasks that are neither done nor bound to a machine; counted, since every pass asks. */
  public int pendingCount() {
    return spec.tasks() - doneCount - boundNotDone;
  }

  /** The lowest task that is neither done nor bound, or -1. */
  public int nextPending() {
    int next = pendingAfter(nextPendingFrom - 1);
    if (next < 0) {
      next = pendingAfter(-1);
    }
    nextPendingFrom = Math.max(0, next);
    return next;
  }

  /** The lowest task above the given one that is neither done nor bound, or -1. */
  public int pendingAfter(int index) {
    for (int i = index + 1; i < spec.tasks(); i++) {
      if (!doneTasks.get(i) && !boundTasks.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  /** True while its tasks may be started. */
  public boolean startable() {
    return phase == JobPhase.ACTIVE;
  }

  /** Its state as its user sees it. */
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

  /** Tasks that were seen running. */
  public int runningCount() {
    int running = 0;
    for (Task task : boundTasks.values()) {
      switch (task.phase()) {
        case RUNNING, STOPPING -> running++;
        default -> {
          // not running yet, or no more
        }
      }
    }
    return running;
  }
}
