package org.dewreach.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;

/** What the checker has observed of one job. */
final class JobObservation {
  /** The job's description; null if nobody submitted it. */
  JobSpec spec;

  boolean accepted;
  boolean cancelRequested;

  /** The final state that a response reported; null before that. */
  String reportedFinalState;

  long acceptedAt;

  /** The time at which the first task of the job started; -1 before that. */
  long firstStartAt = -1;

  /** The number of times that tasks of the job were started. */
  int starts;

  long lastResponseAt;

  /** True if a request about the job was sent since the last successful response to a query. */
  boolean requestedSinceResponse;

  /** The time at which a response first reported the job cancelled; -1 before that. */
  long cancellationReportedAt = -1;

  /**
   * The time at which the last request about the job was sent; far in the past if there was none.
   */
  long lastRequestAt = Long.MIN_VALUE / 2;

  /** The time of the first failed query since the last successful one; -1 if none has failed. */
  long failingSince = -1;

  /** The status that a submission of this invalid job must get; 0 for a valid job. */
  int expectedRejectionStatus;

  /** A worker with capacity for another task of the job; null if none is known. */
  SimWorker workerWithCapacity;

  /** The time since which {@link #workerWithCapacity} has had the capacity. */
  long capacitySince;

  /** The indexes of the completed tasks. */
  final Set<Integer> completed = new HashSet<>();

  /** The workers of the running tasks, by task index. */
  final Map<Integer, SimWorker> running = new HashMap<>();

  /** True if the job is accepted and not ended, and each of its tasks can be placed on its own. */
  boolean waitsForIndependentTasks() {
    return spec != null
        && spec.jobKind() != JobKind.GANG
        && !spec.sameZone()
        && !spec.spreadZones()
        && accepted
        && !cancelRequested
        && reportedFinalState == null;
  }
}
