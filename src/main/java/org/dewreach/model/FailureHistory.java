package org.dewreach.model;

import java.util.HashSet;
import java.util.Set;

/** The tasks that failed on a machine since one last completed, and whether it is quarantined. */
public final class FailureHistory {
  private final Set<String> jobs = new HashSet<>();
  private int failureCount;
  private long quarantinedAt = -1;

  FailureHistory() {}

  /** Jobs whose tasks failed here since a task last completed here. */
  public Set<String> jobs() {
    return jobs;
  }

  /** Tasks that failed here since one last completed. */
  public int failureCount() {
    return failureCount;
  }

  /** Records that a task of the job failed here. */
  public void recordFailure(String jobId) {
    jobs.add(jobId);
    failureCount++;
  }

  /** Records that a task completed here: earlier failures say nothing about the machine. */
  public void recordSuccess() {
    failureCount = 0;
    jobs.clear();
  }

  /** True if the machine is taken for faulty: nothing new is placed on it. */
  public boolean quarantined() {
    return quarantinedAt >= 0;
  }

  /** When it was quarantined, or -1. */
  public long quarantinedAt() {
    return quarantinedAt;
  }

  /** Takes the machine for faulty from now on. */
  public void quarantine(long nowMicros) {
    quarantinedAt = nowMicros;
  }

  /** Ends the quarantine: what failed here failed elsewhere too. */
  public void endQuarantine() {
    quarantinedAt = -1;
    failureCount = 0;
  }
}
