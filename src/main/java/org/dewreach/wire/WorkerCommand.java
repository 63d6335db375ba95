package org.dewreach.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A command to a worker. */
public sealed interface WorkerCommand {
  /** Returns the task that the command applies to. */
  TaskName task();

  /** Returns the attempt that the command applies to; other attempts are not affected. */
  long attempt();

  /** Returns the command's wire form. */
  ObjectNode toNode();

  /**
   * Starts a task. Has no effect if the worker has received this attempt before.
   *
   * @param task the task
   * @param attempt its attempt number
   */
  record Start(TaskName task, long attempt) implements WorkerCommand {
    @Override
    public ObjectNode toNode() {
      return base("start", this);
    }
  }

  /**
   * Stops a task.
   *
   * @param task the task
   * @param attempt its attempt number
   * @param graceMicros how long the task may take to save its checkpoint before it is killed
   */
  record Stop(TaskName task, long attempt, long graceMicros) implements WorkerCommand {
    @Override
    public ObjectNode toNode() {
      return base("halt", this).put("wind_down_s", graceMicros / Fields.MICROS_PER_SECOND);
    }
  }

  /**
   * Removes an exited task from the worker's heartbeats.
   *
   * @param task the task
   * @param attempt its attempt number
   */
  record Remove(TaskName task, long attempt) implements WorkerCommand {
    @Override
    public ObjectNode toNode() {
      return base("clear", this);
    }
  }

  /** Adds the commands to a message to a worker. */
  static void putAll(ObjectNode message, List<WorkerCommand> commands) {
    ArrayNode list = message.putArray("orders");
    commands.forEach(command -> list.add(command.toNode()));
  }

  private static ObjectNode base(String verb, WorkerCommand command) {
    return Codec.map()
        .put("verb", verb)
        .put("piece", command.task().toString())
        .put("try", command.attempt());
  }
}
