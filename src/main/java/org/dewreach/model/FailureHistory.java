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

  /** A task of the job failed here. */
  public void recordFailure(String jobId) {
    jobs.add(jobId);
    failureCount++;
  }

  /** A task completed here: what failed before says nothing about the machine. */
  public void recordSuccess() {
    failureCount = 0;
    jobs.clear();
  }

  /** True if the machine is taken for faulty: it is given nothing new. */
  public boolean quarantined() {
    return quarantinedAt >= 0;
  }

  /** When it was quarantined, or -1. */
  public long quarantinedAt() {
    return quarantinedAt;
  }

  /** It is taken for faulty. */
  public void quarantine(long nowMicros) {
    quarantinedAt = nowMicros;
  }

  /** What failed here failed elsewhere too. */
  public void endQuarantine() {
    quarantinedAt = -1;
    failureCount = 0;
  }
}
