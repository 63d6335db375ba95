package org.dewreach.heartbeat;

import java.util.HashSet;
import java.util.Set;
import org.dewreach.model.Machine;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.TaskName;

/**
 * A worker's report of its state, with what may be concluded from it.
 *
 * @param machine the machine that sent it
 * @param heartbeat the reported state
 * @param source how it reached the leader
 * @param freshness whether it shows the machine's current state
 * @param reportedTasks the names of the tasks that it contains
 * @param nowMicros when it arrived
 */
record WorkerReport(
    Machine machine,
    Heartbeat heartbeat,
    ReportSource source,
    ReportFreshness freshness,
    Set<TaskName> reportedTasks,
    long nowMicros) {

  /** Classifies a report as the leader of the given term. */
  static WorkerReport of(
      Machine machine, Heartbeat heartbeat, ReportSource source, long term, long nowMicros) {
    Set<TaskName> reportedTasks = new HashSet<>();
    heartbeat.tasks().forEach(task -> reportedTasks.add(task.name()));
    return new WorkerReport(
        machine,
        heartbeat,
        source,
        freshness(machine, heartbeat.token(), term),
        reportedTasks,
        nowMicros);
  }

  /**
   * Returns whether a report with the given token shows the current state. Commands of earlier
   * terms may still arrive until the worker has seen the fencing token of this term, unless none
   * were ever sent to it.
   */
  private static ReportFreshness freshness(Machine machine, long token, long term) {
    boolean neverCommanded =
        token == 0 && !machine.commandedByEarlierTerm() && !machine.requiresToken();
    return token == term || neverCommanded
        ? ReportFreshness.CURRENT
        : ReportFreshness.POSSIBLY_STALE;
  }

  /** True if the report shows the machine's current state. */
  boolean isCurrent() {
    return freshness == ReportFreshness.CURRENT;
  }

  /** True if the report contains the task, in any state. */
  boolean reports(TaskName task) {
    return reportedTasks.contains(task);
  }
}
