package org.dewreach.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.scheduling.UnplacedTasks;
import org.dewreach.state.ClusterState;
import org.dewreach.store.CommitQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts what a term has in hand, for the log and for operators. */
final class TermSummary {
  private static final Logger LOG = LoggerFactory.getLogger(TermSummary.class);

  private static final long INTERVAL_MICROS = 10_000_000;

  private static final long MICROS_PER_MS = 1_000;

  private final long term;
  private final ClusterState clusterState;
  private final CommitQueue queue;
  private long nextSummary;

  TermSummary(long term, ClusterState clusterState, CommitQueue queue) {
    this.term = term;
    this.clusterState = clusterState;
    this.queue = queue;
  }

  /** Logs a summary if it is time. */
  void tick(List<UnplacedTasks> waiting, long nowMicros) {
    if (nowMicros < nextSummary) {
      return;
    }
    nextSummary = nowMicros + INTERVAL_MICROS;
    int tasks = 0;
    int up = 0;
    double cpus = 0;
    double free = 0;
    for (Machine machine : clusterState.machines().values()) {
      tasks += machine.tasks().size();
      if (machine.phase() == MachinePhase.UP) {
        up++;
        cpus += machine.type().cpus();
        free += machine.freeCpus();
      }
    }
    LOG.info(
        "term {}: {} jobs, {} machines ({} up, {} of {} CPUs free), {} tasks bound, {} waiting,"
            + " {} writes queued, the oldest sent {} ms ago",
        term,
        clusterState.jobs().size(),
        clusterState.machines().size(),
        up,
        free,
        cpus,
        tasks,
        waitingTasks(waiting),
        queue.waiting(),
        queue.transactionAgeMicros(nowMicros) / MICROS_PER_MS);
  }

  /** Numbers for operators. */
  void fill(ObjectNode node, List<UnplacedTasks> waiting) {
    int tasks = 0;
    for (Machine machine : clusterState.machines().values()) {
      tasks += machine.tasks().size();
    }
    node.put("jobs", clusterState.jobs().size());
    node.put("machines", clusterState.machines().size()).put("tasks_bound", tasks);
    node.put("tasks_waiting", waitingTasks(waiting)).put("writes_queued", queue.waiting());
  }

  private static int waitingTasks(List<UnplacedTasks> waiting) {
    return waiting.stream().mapToInt(UnplacedTasks::tasks).sum();
  }
}
