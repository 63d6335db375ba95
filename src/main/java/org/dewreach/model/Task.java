package org.dewreach.model;

import org.dewreach.wire.JobSpec;
import org.dewreach.wire.TaskName;

/** One attempt of a task, bound to a machine until it is proven gone from that machine. */
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
  private ExitedRecord exitedRecord = ExitedRecord.NONE;
  private boolean stopSentDirectly;
  private boolean started;

  /** Creates an attempt that is bound now. */
  public Task(Job job, int index, long attempt, Machine machine, TaskPhase phase, long nowMicros) {
    this.job = job;
    this.index = index;
    this.attempt = attempt;
    this.machine = machine;
    this.phase = phase;
    this.phaseSince = nowMicros;
    this.boundAt = nowMicros;
    // An attempt of an earlier leader that is found while it saves its progress has started.
    this.started = phase == TaskPhase.RUNNING || phase == TaskPhase.STOPPING;
  }

  /** Changes the phase. No other method does; the phase GONE is final. */
  public void changePhase(TaskPhase next, long nowMicros) {
    if (phase == TaskPhase.GONE) {
      throw new IllegalStateException(name() + " is gone and cannot change to " + next);
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

  /** Returns the job to which the task belongs. */
  public Job job() {
    return job;
  }

  /** Returns the job's specification. */
  public JobSpec spec() {
    return job.spec();
  }

  /** Returns the task's index in the job. */
  public int index() {
    return index;
  }

  /**
   * Returns the attempt number. It is unique over all terms, but for the runs of a task on a
   * machine to which its start was sent directly: these share one number.
   */
  public long attempt() {
    return attempt;
  }

  /** Returns the machine to which the task is bound. */
  public Machine machine() {
    return machine;
  }

  /** Returns the task's phase. */
  public TaskPhase phase() {
    return phase;
  }

  /** Returns when the task entered its phase. */
  public long phaseSince() {
    return phaseSince;
  }

  /** Returns when the task was bound. */
  public long boundAt() {
    return boundAt;
  }

  /**
   * Returns when the task was seen to begin running, or 0 if it was not: it has not begun, or it
   * was already running when this leader found it.
   */
  public long startedAt() {
    return startedAt;
  }

  /**
   * True if the task was seen to have started on its machine, so that it cannot start there later.
   */
  public boolean hasStarted() {
    return started;
  }

  /**
   * True if a direct start is in flight or got no reply, so that the task's absence from a
   * heartbeat does not prove that it is gone.
   */
  public boolean directStartUnresolved() {
    return directStart == DirectStart.SENT || directStart == DirectStart.LOST;
  }

  /** Sets the state of a start that was sent directly. */
  public void directStart(DirectStart newState) {
    directStart = newState;
  }

  /** Returns the record that the worker keeps of an earlier run of this attempt. */
  public ExitedRecord exitedRecord() {
    return exitedRecord;
  }

  /** Sets the record that the worker keeps of an earlier run of this attempt. */
  public void exitedRecord(ExitedRecord newRecord) {
    exitedRecord = newRecord;
  }

  /**
   * True if the worker may start the attempt although the leader has sent no start since it was
   * bound: a late copy of an earlier start has an effect once the record of that run is removed.
   */
  public boolean mayStartUnasked() {
    return exitedRecord == ExitedRecord.REMOVAL_SENT || directStartUnresolved();
  }

  /** True if a stop was sent directly to the worker. */
  public boolean stopSentDirectly() {
    return stopSentDirectly;
  }

  /** Records that a stop was sent directly to the worker. */
  public void markStopSentDirectly() {
    stopSentDirectly = true;
  }

  /** Returns the task's name in messages: the job's id and the index. */
  public TaskName name() {
    return new TaskName(job.id(), index);
  }
}
