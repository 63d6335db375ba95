package org.dewreach.model;

import java.util.HashSet;
import java.util.Set;

/**
 * The task failures on a machine since a task last completed there, and whether the machine is
 * quarantined.
 */
public final class FailureHistory {
  private final Set<String> jobs = new HashSet<>();
  private int failureCount;
  private long quarantinedAt = -1;

  FailureHistory() {}

  /**
   * Returns the ids of the jobs whose tasks failed on the machine since a task last completed
   * there. The set is modifiable: a job that turns out to fail on other machines too is removed.
   */
  public Set<String> jobs() {
    return jobs;
  }

  /**
   * Returns the number of task failures on the machine since a task last completed there or a
   * quarantine of the machine ended.
   */
  public int failureCount() {
    return failureCount;
  }

  /** Records that a task of the job failed on the machine. */
  public void recordFailure(String jobId) {
    jobs.add(jobId);
    failureCount++;
  }

  /**
   * Clears the failures, because a task completed on the machine: they are no longer evidence that
   * the machine is faulty.
   */
  public void recordSuccess() {
    failureCount = 0;
    jobs.clear();
  }

  /** True if the machine is presumed faulty, so that no new tasks are placed on it. */
  public boolean quarantined() {
    return quarantinedAt >= 0;
  }

  /** Returns when the machine was quarantined, or -1 if it is not quarantined. */
  public long quarantinedAt() {
    return quarantinedAt;
  }

  /** Quarantines the machine from now on. */
  public void quarantine(long nowMicros) {
    quarantinedAt = nowMicros;
  }

  /**
   * Ends the quarantine, because the jobs that failed on the machine failed on other machines too.
   */
  public void endQuarantine() {
    quarantinedAt = -1;
    failureCount = 0;
  }
}
