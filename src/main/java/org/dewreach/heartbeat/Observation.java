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
 * @param channel how it came
 * @param evidence what it proves about the machine's present state
 * @param reportedTasks the names of the tasks that it reports
 * @param nowMicros when it came
 */
record Observation(
    Machine machine,
    Heartbeat heartbeat,
    Channel channel,
    Evidence evidence,
    Set<TaskName> reportedTasks,
    long nowMicros) {

  /** Judges a heartbeat as the leader of the term. */
  static Observation of(
      Machine machine, Heartbeat heartbeat, Channel channel, long term, long nowMicros) {
    Set<TaskName> reportedTasks = new HashSet<>();
    heartbeat.tasks().forEach(task -> reportedTasks.add(task.name()));
    return new Observation(
        machine,
        heartbeat,
        channel,
        evidence(machine, heartbeat.token(), term),
        reportedTasks,
        nowMicros);
  }

  /**
   * Commands of earlier terms may still arrive until the worker has seen our fencing token, unless
   * none were ever sent to it.
   */
  private static Evidence evidence(Machine machine, long token, long term) {
    boolean neverCommanded =
        token == 0 && !machine.commandedByEarlierTerm() && !machine.requiresToken();
    return token == term || neverCommanded ? Evidence.CURRENT : Evidence.POSSIBLY_STALE;
  }

  /** True if it shows the machine's present state. */
  boolean isCurrent() {
    return evidence == Evidence.CURRENT;
  }

  /** True if it reports the task, in whatever state. */
  boolean reports(TaskName task) {
    return reportedTasks.contains(task);
  }
}
