package org.dewreach.heartbeat;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.model.Task;
import org.dewreach.wire.TaskName;
import org.dewreach.wire.WorkerCommand;

/** Collects the commands that one heartbeat calls for. */
final class CommandBatch {
  /** Keeps a response well within 64 KiB. */
  private static final int MAX_COMMANDS = 300;

  private final List<WorkerCommand> stops = new ArrayList<>();
  private final List<WorkerCommand> removals = new ArrayList<>();
  private final List<WorkerCommand> starts = new ArrayList<>();

  /** Starts a task's attempt. */
  void start(Task task) {
    starts.add(new WorkerCommand.Start(task.name(), task.attempt()));
  }

  /**
   * Starts an attempt only to stop it: once the worker knows the attempt, a late copy of its start
   * has no effect.
   */
  void startAndStop(Task task) {
    starts.add(new WorkerCommand.Start(task.name(), task.attempt()));
    starts.add(new WorkerCommand.Stop(task.name(), task.attempt(), 0));
  }

  /** Stops an attempt, which may take the given time to save its checkpoint. */
  void stop(TaskName task, long attempt, long graceMicros) {
    stops.add(new WorkerCommand.Stop(task, attempt, graceMicros));
  }

  /** Removes an exited attempt from the worker's heartbeats. */
  void remove(TaskName task, long attempt) {
    removals.add(new WorkerCommand.Remove(task, attempt));
  }

  /**
   * The commands of the response, in the order in which the worker carries them out; what exceeds
   * the limit is called for again by the next heartbeat.
   *
   * <p>A heartbeat that may be stale calls only for stops, which are of cancelled jobs. Guards
   * against leases that one new leader after the other renews while each waits for a heartbeat with
   * its token.
   */
  List<WorkerCommand> forResponse(ReportFreshness freshness) {
    List<WorkerCommand> commands = new ArrayList<>(stops);
    if (freshness == ReportFreshness.CURRENT) {
      commands.addAll(removals);
      commands.addAll(starts);
    }
    return commands.subList(0, Math.min(commands.size(), MAX_COMMANDS));
  }
}
