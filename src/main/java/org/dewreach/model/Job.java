package org.dewreach.model;

import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectMaps;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.BitSet;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.JobState;

/** A job that is not over, as the leader knows it. */
public final class Job {
  private static final int MAX_SUSPECTS = 8;

  /**
   * So many machines on which it failed in a row speak against the job. A default of this project.
   */
  private static final int DOUBTFUL_FROM_FAILURES = 2;

  /**
   * A machine on which a task of the job failed is avoided by it for this long. A default of this
   * project.
   */
  private static final long SUSPECTED_MICROS = 60_000_000;

  /** Pause of a doubtful job; it doubles with each failure. */
  private static final long FIRST_REST_MICROS = 500_000;

  private static final int MAX_REST_DOUBLINGS = 7;
  private static final long MAX_REST_MICROS = 60_000_000;

  private final JobSpec spec;
  private final long acceptedWallMicros;
  private final boolean submittedThisTerm;
  private final BitSet done = new BitSet();
  private final Int2ObjectMap<Task> bound = new Int2ObjectLinkedOpenHashMap<>();
  private final Map<String, Long> avoidedUntil = new LinkedHashMap<>();
  private JobPhase phase;
  private JobState finalState;
  private long revision;
  private BitSet durableDone = new BitSet();
  private boolean writeInFlight;
  private long progressWrittenAt;
  private long cancelRequestedAt;
  private long cancelledAt = Long.MIN_VALUE / 2;
  private int cursor;
  private int failures;
  private long notBefore;
  private int doneCount;
  private int boundOpen;
  private final Object2IntOpenHashMap<String> boundInZone = new Object2IntOpenHashMap<>();

  /**
   * A job.
   *
   * @param acceptedWallMicros time of day of its submission
   * @param submittedThisTerm true if it was submitted under the current term, so that no earlier
   *     leader can have started any of its tasks
   */
  public Job(JobSpec spec, long acceptedWallMicros, boolean submittedThisTerm, JobPhase phase) {
    this.spec = spec;
    this.acceptedWallMicros = acceptedWallMicros;
    this.submittedThisTerm = submittedThisTerm;
    this.phase = phase;
  }

  /** The one function for every change of state. */
  public void become(JobPhase next) {
    boolean legal =
        switch (next) {
          case PERSISTING -> false;
          case ACTIVE -> phase == JobPhase.PERSISTING;
          case CANCEL_REQUESTED -> phase == JobPhase.ACTIVE;
          case CANCEL_COMMITTING -> phase == JobPhase.CANCEL_REQUESTED;
          // A job may have been cancelled before any leader knew of it.
          case CANCELLED -> phase == JobPhase.CANCEL_COMMITTING || phase == JobPhase.PERSISTING;
          case FINALIZING -> isOpen() || phase == JobPhase.CANCELLED;
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
  public boolean isOpen() {
    return phase == JobPhase.ACTIVE || phase == JobPhase.CANCEL_REQUESTED;
  }

  /** What it is to end as, once it is being finished. */
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
  public boolean submittedThisTerm() {
    return submittedThisTerm;
  }

  /** The revision of its record, on which the next write is conditional. */
  public long revision() {
    return revision;
  }

  /** Sets the revision of its record. */
  public void revision(long newRevision) {
    revision = newRevision;
  }

  /** True while a write of its record has no outcome. */
  public boolean writeInFlight() {
    return writeInFlight;
  }

  /** Sets whether a write of its record has no outcome. */
  public void writeInFlight(boolean now) {
    writeInFlight = now;
  }

  /** When progress was last written. */
  public long progressWrittenAt() {
    return progressWrittenAt;
  }

  /** Sets when progress was last written. */
  public void progressWrittenAt(long micros) {
    progressWrittenAt = micros;
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

  /** The tasks done, for reading; {@link #markDone} changes it. */
  public BitSet done() {
    return done;
  }

  /** How many tasks are done. */
  public int doneCount() {
    return doneCount;
  }

  /** A task has completed; false if that was known. */
  public boolean markDone(int index) {
    if (index >= spec.tasks() || done.get(index)) {
      return false;
    }
    done.set(index);
    doneCount++;
    if (bound.containsKey(index)) {
      boundOpen--;
    }
    return true;
  }

  /** What the job's record says is done, when it is loaded. */
  public void restoreProgress(BitSet saved) {
    done.or(saved);
    doneCount = done.cardinality();
    durableDone = (BitSet) saved.clone();
  }

  /** The tasks done that a new leader would know of. */
  public BitSet durableDone() {
    return durableDone;
  }

  /** Sets the tasks done that are durable. */
  public void durableDone(BitSet written) {
    durableDone = written;
  }

  /** True if every task is done; a service never is. */
  public boolean complete() {
    return spec.jobKind() != JobKind.SERVICE && doneCount >= spec.tasks();
  }

  /** The bound tasks, for reading; {@link #bind} and {@link #unbind} change them. */
  public Int2ObjectMap<Task> bound() {
    return Int2ObjectMaps.unmodifiable(bound);
  }

  /** True if a task is bound to a machine. */
  public boolean hasBound() {
    return !bound.isEmpty();
  }

  /** Binds a task to its machine. */
  public void bind(Task task) {
    if (bound.put(task.index(), task) != null) {
      throw new IllegalStateException(task.name() + " is bound already");
    }
    boundOpen += done.get(task.index()) ? 0 : 1;
    boundInZone.addTo(task.machine().zone(), 1);
  }

  /** Takes back a binding; the task is pending again unless it is done. */
  public void unbind(Task task) {
    bound.remove(task.index());
    boundOpen -= done.get(task.index()) ? 0 : 1;
    boundInZone.addTo(task.machine().zone(), -1);
    // Look for what is pending from there again.
    cursor = Math.min(cursor, task.index());
  }

  /** True if a bound task was not seen to have begun: it may yet, as long as it is bound. */
  public boolean mayStartLater() {
    return bound.values().stream().anyMatch(task -> !task.begun());
  }

  /** Tasks that are bound to machines of the zone. */
  public int boundInZone(String zone) {
    return boundInZone.getInt(zone);
  }

  /** The number of bound tasks in each zone, for reading. */
  public Map<String, Integer> boundInZones() {
    return Collections.unmodifiableMap(boundInZone);
  }

  /** Tasks that are neither done nor bound to a machine; counted, since every pass asks. */
  public int pending() {
    return spec.tasks() - doneCount - boundOpen;
  }

  /** The lowest task that is neither done nor bound, or -1. */
  public int nextPending() {
    int next = pendingAfter(cursor - 1);
    if (next < 0) {
      next = pendingAfter(-1);
    }
    cursor = Math.max(0, next);
    return next;
  }

  /** The lowest task above the given one that is neither done nor bound, or -1. */
  public int pendingAfter(int index) {
    for (int i = index + 1; i < spec.tasks(); i++) {
      if (!done.get(i) && !bound.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  /** True while its tasks may be started. */
  public boolean startable() {
    return phase == JobPhase.ACTIVE;
  }

  /** Nothing of it is started before this time. */
  public long notBefore() {
    return notBefore;
  }

  /**
   * Machines on which its tasks failed lately.
   *
   * <p>Not for ever: guards against a job that waits beside the only machine with room.
   */
  public Set<String> avoidedMachines(long nowMicros) {
    avoidedUntil.values().removeIf(until -> until <= nowMicros);
    return avoidedUntil.keySet();
  }

  /**
   * A task failed: the job avoids the machine, and rests the longer the more machines it failed on.
   * Several tasks that fail on one machine say no more than one.
   */
  public void recordFailure(String machine, long nowMicros) {
    if (!avoidedMachines(nowMicros).contains(machine)) {
      failures++;
    }
    avoidMachine(machine, nowMicros + SUSPECTED_MICROS);
    if (failsRepeatedly()) {
      notBefore =
          nowMicros
              + Math.min(
                  MAX_REST_MICROS, FIRST_REST_MICROS << Math.min(failures, MAX_REST_DOUBLINGS));
    }
  }

  /**
   * True if it failed wherever it went since it last got anywhere: that speaks against the job, not
   * the machines. It is tried with one task at a time then.
   */
  public boolean failsRepeatedly() {
    return failures >= DOUBTFUL_FROM_FAILURES;
  }

  /** True if it failed once and has neither completed a task nor failed elsewhere since. */
  public boolean failedOnce() {
    return failures > 0 && !failsRepeatedly();
  }

  /**
   * Its tasks are not placed on the machine until then, or until many others were avoided since.
   */
  public void avoidMachine(String machine, long untilMicros) {
    avoidedUntil.remove(machine);
    avoidedUntil.put(machine, untilMicros);
    if (avoidedUntil.size() > MAX_SUSPECTS) {
      avoidedUntil.remove(avoidedUntil.keySet().iterator().next());
    }
  }

  /** Nothing of it is started before the given time. */
  public void delayUntil(long untilMicros) {
    notBefore = Math.max(notBefore, untilMicros);
  }

  /** It got somewhere: earlier failures no longer count against it. */
  public void recordSuccess() {
    failures = 0;
    notBefore = 0;
  }

  /** What its user is told. */
  public JobState jobState() {
    return switch (phase) {
      case CANCELLED -> JobState.CANCELLED;
      case FINALIZING -> finalState == JobState.CANCELLED ? finalState : progress();
      case ENDED -> finalState;
      case PERSISTING, ACTIVE, CANCEL_REQUESTED, CANCEL_COMMITTING -> progress();
    };
  }

  private JobState progress() {
    return doneCount > 0 || running() > 0 ? JobState.RUNNING : JobState.PENDING;
  }

  /** Tasks that were seen running. */
  public int running() {
    int running = 0;
    for (Task task : bound.values()) {
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
