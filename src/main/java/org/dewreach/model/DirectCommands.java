package org.dewreach.model;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import java.util.HashSet;
import java.util.Set;
import org.dewreach.wire.TaskName;

/**
 * The commands that the leader sent straight to a machine's worker, rather than in the answer to a
 * heartbeat: the starts of the worker's incarnation, and the command that is on its way.
 */
public final class DirectCommands {
  private final LongOpenHashSet attempts = new LongOpenHashSet();
  private final Set<TaskName> tasks = new HashSet<>();
  private boolean inFlight;
  private long notBefore;

  DirectCommands() {}

  /** Forgets what was sent before: the worker has begun a new incarnation. */
  void onNewIncarnation() {
    attempts.clear();
    tasks.clear();
  }

  /** Records the start of an attempt. */
  public void recordStart(TaskName task, long attempt) {
    attempts.add(attempt);
    tasks.add(task);
  }

  /**
   * True if an attempt of the task was started directly in this incarnation.
   *
   * <p>Guards against a late copy of that start: a later attempt here could take the place of the
   * one that the worker still knows, and the copy would then run beside it elsewhere.
   */
  public boolean hasStartedTask(TaskName task) {
    return tasks.contains(task);
  }

  /** True if the attempt was started directly in this incarnation. */
  public boolean hasStartedAttempt(long attempt) {
    return attempts.contains(attempt);
  }

  /** Direct starts in this incarnation. */
  public int startCount() {
    return attempts.size();
  }

  /** True while a direct command has no outcome. */
  public boolean inFlight() {
    return inFlight;
  }

  /** Sets whether a direct command has no outcome. */
  public void inFlight(boolean now) {
    inFlight = now;
  }

  /** No direct command before this time: the last one had no answer. */
  public long notBefore() {
    return notBefore;
  }

  /** Sets the time before which no direct command is sent. */
  public void notBefore(long micros) {
    notBefore = micros;
  }
}
