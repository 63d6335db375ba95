package org.dewreach.heartbeat;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.model.Task;
import org.dewreach.wire.TaskName;
import org.dewreach.wire.WorkerCommand;

/** Collects the commands that one heartbeat requires. */
final class CommandBatch {
  /** Keeps a response well within its limit of 64 KiB. */
  private static final int MAX_COMMANDS = 300;

  private final List<WorkerCommand> stops = new ArrayList<>();
  private final List<WorkerCommand> removals = new ArrayList<>();
  private final List<WorkerCommand> starts = new ArrayList<>();

  /** Adds the start of a task's attempt. */
  void start(Task task) {
    starts.add(new WorkerCommand.Start(task.name(), task.attempt()));
  }

  /**
   * Adds the start of an attempt, followed by its stop: once the worker has a record of the
   * attempt, a late copy of its start has no effect.
   */
  void startAndStop(Task task) {
    starts.add(new WorkerCommand.Start(task.name(), task.attempt()));
    starts.add(new WorkerCommand.Stop(task.name(), task.attempt(), 0));
  }

  /** Adds the stop of an attempt, which may take the given time to save its checkpoint. */
  void stop(TaskName task, long attempt, long graceMicros) {
    stops.add(new WorkerCommand.Stop(task, attempt, graceMicros));
  }

  /** Adds the removal of an exited attempt from the worker's heartbeats. */
  void remove(TaskName task, long attempt) {
    removals.add(new WorkerCommand.Remove(task, attempt));
  }

  /**
   * Returns the commands of the response, in the order in which the worker executes them. Commands
   * beyond the limit are required again by the next heartbeat.
   *
   * <p>A heartbeat that may be stale requires only stops, which are those of cancelled jobs. Guards
   * against cancelled tasks that run on because one new leader after the other renews their lease
   * while each waits for a heartbeat with its token.
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
