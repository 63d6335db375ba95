package org.dewreach.model;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The task failures on a machine since a task last completed there, and whether the machine is
 * quarantined for them.
 */
public final class FailureHistory {
  /** A machine is presumed faulty after tasks of this many jobs have failed there in a row. */
  private static final int FAULTY_AFTER_JOBS = 2;

  /**
   * A machine is also presumed faulty after this many tasks of one job have failed there in a row
   * if the job completes tasks elsewhere.
   */
  private static final int FAULTY_AFTER_TASKS = 3;

  /** The failures of one job on the machine. */
  private record JobFailures(int tasks, boolean completesElsewhere) {
    static final JobFailures NONE = new JobFailures(0, false);

    JobFailures plusOne(boolean nowCompletesElsewhere) {
      return new JobFailures(tasks + 1, nowCompletesElsewhere);
    }

    boolean showFaultyMachine() {
      return tasks >= FAULTY_AFTER_TASKS && completesElsewhere;
    }
  }

  private final Map<String, JobFailures> failuresByJob = new HashMap<>();
  private QuarantineState state = QuarantineState.NONE;
  private long stateSince;

  FailureHistory() {}

  private void changeState(QuarantineState next, long nowMicros) {
    state = next;
    stateSince = nowMicros;
  }

  /** Returns whether the machine is quarantined. */
  public QuarantineState state() {
    return state;
  }

  /** Returns when the machine was quarantined, or its probation began. */
  public long stateSince() {
    return stateSince;
  }

  /** True if the machine is presumed faulty, so that no new tasks are placed on it. */
  public boolean quarantined() {
    return state == QuarantineState.QUARANTINED;
  }

  /** Returns the ids of the jobs whose failures count against the machine. */
  public Set<String> jobs() {
    return Collections.unmodifiableSet(failuresByJob.keySet());
  }

  /** Returns the number of task failures that count against the machine. */
  public int failureCount() {
    return failuresByJob.values().stream().mapToInt(JobFailures::tasks).sum();
  }

  /**
   * Records that a task of the job failed on the machine.
   *
   * @param completesElsewhere true if other tasks of the job have completed
   */
  public void recordFailure(String jobId, boolean completesElsewhere) {
    JobFailures before = failuresByJob.getOrDefault(jobId, JobFailures.NONE);
    failuresByJob.put(jobId, before.plusOne(completesElsewhere));
  }

  /** True if the recorded failures show that the machine rather than a job is faulty. */
  public boolean showFaultyMachine() {
    return failuresByJob.size() >= FAULTY_AFTER_JOBS
        || failuresByJob.values().stream().anyMatch(JobFailures::showFaultyMachine);
  }

  /**
   * Records that a task completed on the machine. The earlier failures no longer count, unless the
   * machine is quarantined: the task may have been started before the machine became faulty.
   */
  public void recordSuccess(long nowMicros) {
    if (!quarantined()) {
      failuresByJob.clear();
      changeState(QuarantineState.NONE, nowMicros);
    }
  }

  /**
   * Withdraws the failures of a job, which is itself at fault or was cancelled.
   *
   * @return true if the machine was quarantined or on probation because of them
   */
  public boolean withdraw(String jobId, long nowMicros) {
    boolean counted = failuresByJob.remove(jobId) != null;
    if (!counted || state == QuarantineState.NONE || showFaultyMachine()) {
      return false;
    }
    changeState(QuarantineState.NONE, nowMicros);
    return true;
  }

  /** Quarantines the machine from now on. */
  public void quarantine(long nowMicros) {
    changeState(QuarantineState.QUARANTINED, nowMicros);
  }

  /** Ends the quarantine for a probation. The failures still count. */
  public void beginProbation(long nowMicros) {
    changeState(QuarantineState.PROBATION, nowMicros);
  }

  /** Ends the quarantine or probation. The failures no longer count. */
  public void clear(long nowMicros) {
    failuresByJob.clear();
    changeState(QuarantineState.NONE, nowMicros);
  }
}
