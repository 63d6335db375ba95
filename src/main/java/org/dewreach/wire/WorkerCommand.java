package org.dewreach.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A command to a worker. */
public sealed interface WorkerCommand {
  /** The task that the command is about. */
  TaskName task();

  /** The attempt that the command is about; others are not touched. */
  long attempt();

  /** The command as a worker reads it. */
  ObjectNode toNode();

  /** Start a task. Has no effect if the worker knows this attempt already. */
  record Start(TaskName task, long attempt) implements WorkerCommand {
    @Override
    public ObjectNode toNode() {
      return base("start", this);
    }
  }

  /** Stop a task, leaving it the given time to save. */
  record Stop(TaskName task, long attempt, long graceMicros) implements WorkerCommand {
    @Override
    public ObjectNode toNode() {
      return base("halt", this).put("wind_down_s", graceMicros / Fields.MICROS_PER_SECOND);
    }
  }

  /** Remove an exited task from the reports. */
  record Remove(TaskName task, long attempt) implements WorkerCommand {
    @Override
    public ObjectNode toNode() {
      return base("clear", this);
    }
  }

  private static ObjectNode base(String verb, WorkerCommand command) {
    return Codec.map()
        .put("verb", verb)
        .put("piece", command.task().toString())
        .put("try", command.attempt());
  }
}
