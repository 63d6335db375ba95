package org.dewreach.heartbeat;

import java.util.HashSet;
import java.util.Set;
import org.dewreach.model.Machine;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.TaskName;

/**
 * A heartbeat, with what may be concluded from it.
 *
 * @param machine the machine that sent it
 * @param heartbeat what it reports
 * @param source how it reached the leader
 * @param freshness what it proves about the machine's present state
 * @param reportedTasks the names of the tasks that it reports
 * @param nowMicros when it came
 */
record WorkerReport(
    Machine machine,
    Heartbeat heartbeat,
    ReportSource source,
    ReportFreshness freshness,
    Set<TaskName> reportedTasks,
    long nowMicros) {

  /** Judges a heartbeat as the leader of the term. */
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
   * Commands of earlier terms may still arrive until the worker has seen our fencing token, unless
   * none were ever sent to it.
   */
  private static ReportFreshness freshness(Machine machine, long token, long term) {
    boolean neverCommanded =
        token == 0 && !machine.commandedByEarlierTerm() && !machine.requiresToken();
    return token == term || neverCommanded
        ? ReportFreshness.CURRENT
        : ReportFreshness.POSSIBLY_STALE;
  }

  /** True if it shows the machine's present state. */
  boolean isCurrent() {
    return freshness == ReportFreshness.CURRENT;
  }

  /** True if it reports the task, in whatever state. */
  boolean reports(TaskName task) {
    return reportedTasks.contains(task);
  }
}
