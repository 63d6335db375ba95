package org.dewreach.model;

import org.dewreach.wire.JobSpec;
import org.dewreach.wire.TaskName;

/** One attempt of a task, bound to a machine until it is proven gone from there. */
public final class Task {
  private final Job job;
  private final int index;
  private final long attempt;
  private final Machine machine;
  private TaskPhase phase;
  private long phaseSince;
  private long boundAt;
  private long startedAt;
  private DirectStart directStart = DirectStart.NONE;
  private boolean stopSentDirectly;
  private boolean started;

  /** An attempt that is bound just now. */
  public Task(Job job, int index, long attempt, Machine machine, TaskPhase phase, long nowMicros) {
    this.job = job;
    this.index = index;
    this.attempt = attempt;
    this.machine = machine;
    this.phase = phase;
    this.phaseSince = nowMicros;
    this.boundAt = nowMicros;
    // One that an earlier leader started and that is saving has started there.
    this.started = phase == TaskPhase.RUNNING || phase == TaskPhase.STOPPING;
  }

  /** Changes the state; nothing else does. */
  public void become(TaskPhase next, long nowMicros) {
    if (phase == TaskPhase.GONE) {
      throw new IllegalStateException(name() + " is gone and cannot become " + next);
    }
    if (phase == next) {
      return;
    }
    if (next == TaskPhase.RUNNING) {
      startedAt = nowMicros;
      started = true;
      machine.recordImageFetched(job.spec());
    }
    phase = next;
    phaseSince = nowMicros;
  }

  /** The job it belongs to. */
  public Job job() {
    return job;
  }

  /** The job's description. */
  public JobSpec spec() {
    return job.spec();
  }

  /** Its position in the job. */
  public int index() {
    return index;
  }

  /** Its attempt number, which is never used again. */
  public long attempt() {
    return attempt;
  }

  /** Where it is bound. */
  public Machine machine() {
    return machine;
  }

  /** Its state. */
  public TaskPhase phase() {
    return phase;
  }

  /** When it entered its state. */
  public long phaseSince() {
    return phaseSince;
  }

  /** When it was bound. */
  public long boundAt() {
    return boundAt;
  }

  /** When it was first seen running, or 0. */
  public long startedAt() {
    return startedAt;
  }

  /**
   * True if it was seen to have started on its machine, so that it does not start there any more.
   */
  public boolean hasStarted() {
    return started;
  }

  /**
   * True if a direct start is on its way, or was lost: its absence from a heartbeat proves nothing.
   */
  public boolean directStartUnresolved() {
    return directStart == DirectStart.SENT || directStart == DirectStart.LOST;
  }

  /** Sets what is known of a start that was sent directly. */
  public void directStart(DirectStart now) {
    directStart = now;
  }

  /** True if a stop was sent directly to its worker. */
  public boolean stopSentDirectly() {
    return stopSentDirectly;
  }

  /** Records that a stop was sent directly to its worker. */
  public void markStopSentDirectly() {
    stopSentDirectly = true;
  }

  /** Its public name. */
  public TaskName name() {
    return new TaskName(job.id(), index);
  }
}
