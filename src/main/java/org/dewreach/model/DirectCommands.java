package org.dewreach.model;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.dewreach.wire.TaskName;

/**
 * Tracks the commands that the leader sent directly to a machine's worker, rather than in the
 * response to a heartbeat: the starts sent in the worker's current incarnation, and whether a
 * command is in flight.
 */
public final class DirectCommands {
  private final LongOpenHashSet startedAttempts = new LongOpenHashSet();
  private final Map<TaskName, Long> startedTasks = new HashMap<>();
  private boolean inFlight;
  private long notBefore;

  DirectCommands() {}

  /** Clears the recorded starts, because the worker has begun a new incarnation. */
  void onNewIncarnation() {
    startedAttempts.clear();
    startedTasks.clear();
  }

  /** Records that the start of an attempt was sent directly. */
  public void recordStart(TaskName task, long attempt) {
    startedAttempts.add(attempt);
    startedTasks.put(task, attempt);
  }

  /** True if a direct start of the task was sent in this incarnation. */
  public boolean hasStartedTask(TaskName task) {
    return startedTasks.containsKey(task);
  }

  /**
   * Returns the attempt of the task whose start was sent directly in this incarnation; empty if
   * there is none. The task may be started here again as this attempt only.
   *
   * <p>Guards against a late copy of that start. If another attempt of the task were started here,
   * it could replace the one that the worker has recorded; the worker would then accept the copy,
   * and the task could run here and on another machine at the same time.
   */
  public OptionalLong startedAttempt(TaskName task) {
    Long attempt = startedTasks.get(task);
    return attempt == null ? OptionalLong.empty() : OptionalLong.of(attempt);
  }

  /** True if a direct start of the attempt was sent in this incarnation. */
  public boolean hasStartedAttempt(long attempt) {
    return startedAttempts.contains(attempt);
  }

  /** Returns the number of direct starts sent in this incarnation. */
  public int startCount() {
    return startedAttempts.size();
  }

  /** True while a direct command is in flight, which means that its outcome is not known yet. */
  public boolean inFlight() {
    return inFlight;
  }

  /** Sets whether a direct command is in flight. */
  public void inFlight(boolean newInFlight) {
    inFlight = newInFlight;
  }

  /** Returns the time before which no direct command is sent, because the last one got no reply. */
  public long notBefore() {
    return notBefore;
  }

  /** Sets the time before which no direct command is sent. */
  public void notBefore(long micros) {
    notBefore = micros;
  }
}
