package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker's heartbeat ({@code POST /hello}); the responses to direct commands and to {@code GET
 * /status} have the same form.
 *
 * @param machine the machine's unique name
 * @param address the address at which the worker receives commands
 * @param type the name of the machine type
 * @param zone the machine's zone
 * @param spot true for a spot machine, which the cloud may reclaim
 * @param incarnation the worker's incarnation, which increases each time its lease expires
 * @param sequence the sequence number of the heartbeat within the incarnation
 * @param token the highest fencing token that the worker has received, or 0
 * @param reclaimMicros time until the cloud reclaims the machine, or -1 if no reclaim is announced
 * @param tasks the tasks on the worker, including exited ones
 */
public record Heartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long incarnation,
    long sequence,
    long token,
    long reclaimMicros,
    List<TaskStatus> tasks) {

  /** State of a task on its machine. */
  public enum TaskState {
    /** The task's image is being fetched, or the state is not known to this version. */
    PULLING,
    /** The task runs. */
    RUNNING,
    /** The task received a stop command and saves a checkpoint. */
    SAVING,
    /** The task has ended; {@link ExitCause} gives the cause. */
    EXITED
  }

  /** Why a task exited. Log lines contain {@link #toString}, which follows the wire name. */
  public enum ExitCause {
    /** The task has not exited. */
    NONE("NONE"),
    /** The task completed. */
    DONE("DONE"),
    /** The task was stopped, or exited for a cause that is unknown to this version. */
    STOPPED("STOPPED"),
    /** The task failed by itself. */
    ERROR("ERROR"),
    /** The machine had too few free resources for the task. */
    INSUFFICIENT_RESOURCES("FULL"),
    /** Another attempt of the task runs on the machine. */
    OTHER_ATTEMPT_RUNNING("IN_USE"),
    /** The worker rejected the start: the job or task does not exist, or was not submitted. */
    JOB_NOT_FOUND("NO_SUCH");

    private final String logName;

    ExitCause(String logName) {
      this.logName = logName;
    }

    @Override
    public String toString() {
      return logName;
    }
  }

  /**
   * One task of a heartbeat.
   *
   * @param name the task's name
   * @param attempt its attempt number
   * @param state its state
   * @param cause why it exited; {@link ExitCause#NONE} if it has not
   */
  public record TaskStatus(TaskName name, long attempt, TaskState state, ExitCause cause) {}

  /**
   * Parses the body of a heartbeat.
   *
   * @throws MalformedException if a field is missing, of the wrong type or out of range
   */
  public static Heartbeat parse(JsonNode body) throws MalformedException {
    ObjectNode map = Fields.map(body);
    if (!(map.get("pieces") instanceof ArrayNode list)) {
      throw new MalformedException("pieces", "list expected");
    }
    List<TaskStatus> tasks = new ArrayList<>(list.size());
    for (JsonNode item : list) {
      tasks.add(task(Fields.map(item)));
    }
    return new Heartbeat(
        Fields.text(map, "host"),
        Fields.text(map, "address"),
        Fields.text(map, "build"),
        Fields.text(map, "site"),
        Fields.flag(map, "loaners"),
        Fields.count(map, "tenure", 0, Long.MAX_VALUE),
        Fields.count(map, "tally", 0, Long.MAX_VALUE),
        Fields.count(map, "warrant", 0, Long.MAX_VALUE),
        reclaimMicros(map),
        tasks);
  }

  /**
   * Parses the time until the reclaim; a negative one is read as 0.
   *
   * <p>Guards against rejecting the heartbeats of a machine whose reclaim time has passed.
   */
  private static long reclaimMicros(ObjectNode map) throws MalformedException {
    boolean passed = map.path("recall_s").isNumber() && map.path("recall_s").doubleValue() < 0;
    return passed ? 0 : Fields.microsOrNone(map, "recall_s");
  }

  private static TaskStatus task(ObjectNode map) throws MalformedException {
    TaskState state = state(Fields.text(map, "standing"));
    ExitCause cause =
        state == TaskState.EXITED ? cause(Fields.textOrNull(map, "cause")) : ExitCause.NONE;
    return new TaskStatus(
        TaskName.parse(Fields.text(map, "piece")),
        Fields.count(map, "try", 0, Long.MAX_VALUE),
        state,
        cause);
  }

  private static TaskState state(String name) {
    return switch (name) {
      case "running" -> TaskState.RUNNING;
      case "flushing" -> TaskState.SAVING;
      case "exited" -> TaskState.EXITED;
      // A task in a state that is unknown to this version still occupies its machine.
      default -> TaskState.PULLING;
    };
  }

  private static ExitCause cause(String nameOrNull) {
    return switch (String.valueOf(nameOrNull)) {
      case "done" -> ExitCause.DONE;
      case "error" -> ExitCause.ERROR;
      case "full" -> ExitCause.INSUFFICIENT_RESOURCES;
      case "in_use" -> ExitCause.OTHER_ATTEMPT_RUNNING;
      case "no_such" -> ExitCause.JOB_NOT_FOUND;
      default -> ExitCause.STOPPED;
    };
  }
}
