package org.dewreach.controller;

import java.util.List;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.scheduling.UnplacedTasks;
import org.dewreach.state.ClusterState;
import org.dewreach.store.CommitQueue;
import org.dewreach.store.WriteLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports the size and load of a term, in the log and as statistics for operators. */
final class TermReporter {
  private static final Logger LOG = LoggerFactory.getLogger(TermReporter.class);

  private static final long SUMMARY_INTERVAL_MICROS = 10_000_000;

  private static final long MICROS_PER_MS = 1_000;

  private final long term;
  private final ClusterState clusterState;
  private final CommitQueue queue;
  private final WriteLimits writeLimits;
  private long nextSummaryAt;

  TermReporter(long term, ClusterState clusterState, CommitQueue queue, WriteLimits writeLimits) {
    this.term = term;
    this.clusterState = clusterState;
    this.queue = queue;
    this.writeLimits = writeLimits;
  }

  /** Logs a summary if the interval has passed. */
  void tick(List<UnplacedTasks> unplaced, long nowMicros) {
    if (nowMicros < nextSummaryAt) {
      return;
    }
    nextSummaryAt = nowMicros + SUMMARY_INTERVAL_MICROS;
    int up = 0;
    double cpus = 0;
    double freeCpus = 0;
    for (Machine machine : clusterState.machines().values()) {
      if (machine.phase() == MachinePhase.UP) {
        up++;
        cpus += machine.type().cpus();
        freeCpus += machine.freeCpus();
      }
    }
    LOG.info(
        "term summary: term={} jobs={} machines={} up={} cpus={} free_cpus={} tasks_bound={}"
            + " tasks_waiting={} writes_queued={} oldest_write_ms={} transactions_rejected={}"
            + " transactions_rate_limited={} max_value_bytes={} max_mutations={}",
        term,
        clusterState.jobs().size(),
        clusterState.machines().size(),
        up,
        cpus,
        freeCpus,
        boundTasks(),
        unplacedTaskCount(unplaced),
        queue.pendingWrites(),
        queue.transactionAgeMicros(nowMicros) / MICROS_PER_MS,
        writeLimits.rejectedTransactions(),
        writeLimits.rateLimitedTransactions(),
        writeLimits.maxValueBytes(),
        writeLimits.maxMutations());
  }

  /** Returns the statistics for operators. */
  TermStats stats(LeadershipTerm.Phase phase, List<UnplacedTasks> unplaced) {
    return new TermStats(
        phase,
        clusterState.jobs().size(),
        clusterState.machines().size(),
        boundTasks(),
        unplacedTaskCount(unplaced),
        queue.pendingWrites());
  }

  private int boundTasks() {
    return clusterState.machines().values().stream()
        .mapToInt(machine -> machine.tasks().size())
        .sum();
  }

  /** Returns the number of tasks that could not be bound. */
  static int unplacedTaskCount(List<UnplacedTasks> unplaced) {
    return unplaced.stream().mapToInt(UnplacedTasks::tasks).sum();
  }
}
