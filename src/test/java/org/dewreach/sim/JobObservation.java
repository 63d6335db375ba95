package org.dewreach.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;

/** What the checker has seen of one job. */
final class JobObservation {
  /** Null unless it was submitted. */
  JobSpec spec;

  boolean accepted;
  boolean cancelRequested;

  /** How it ended, as users were told; null until they were. */
  String reportedFinalState;

  long acceptedAt;
  long firstStartAt = -1;
  int starts;
  long lastResponseAt;
  boolean requestedSinceResponse;

  /** When users were told that it is cancelled; -1 until they were. */
  long cancellationReportedAt = -1;

  /** When the last question about it was sent; before the start if there was none. */
  long lastRequestAt = Long.MIN_VALUE / 2;

  /** When the first of the questions that failed since its last answer did; -1 if none has. */
  long failingSince = -1;

  /** What a job that must not be accepted is to be answered; 0 for any other. */
  int expectedRejectionStatus;

  /** A machine with room for one more of its tasks, and since when it has had that. */
  SimWorker workerWithCapacity;

  long capacitySince;
  final Set<Integer> completed = new HashSet<>();
  final Map<Integer, SimWorker> running = new HashMap<>();

  /** Whether it is to run, and each of its tasks may be placed without regard to the others. */
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
