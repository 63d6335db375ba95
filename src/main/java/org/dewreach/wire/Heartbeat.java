package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker's heartbeat (`POST /hello`); the answers to direct commands and to `GET /status` have
 * the same form.
 *
 * @param machine the machine's unique name
 * @param address where the worker takes commands
 * @param type the name of the machine type
 * @param zone where the machine is
 * @param spot true if the cloud may take the machine away
 * @param incarnation increases each time the worker's lease expires
 * @param sequence orders the heartbeats of one incarnation
 * @param token the highest fencing token that the worker has seen, or 0
 * @param reclaimMicros time until the cloud takes the machine away, or -1
 * @param tasks what the worker knows of, exited tasks included
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

  /** What a task is doing on its machine. */
  public enum TaskState {
    /** The image is being fetched. */
    PULLING,
    /** It runs. */
    RUNNING,
    /** It was told to stop and saves its progress. */
    SAVING,
    /** It has ended; see the cause. */
    EXITED
  }

  /** Why a task exited. */
  public enum ExitCause {
    /** It has not exited. */
    NONE,
    /** It completed. */
    DONE,
    /** It was stopped, or exited in a way that this version does not know. */
    STOPPED,
    /** It failed by itself. */
    ERROR,
    /** The machine had no room for it. */
    INSUFFICIENT_RESOURCES,
    /** Another attempt of it runs there. */
    OTHER_ATTEMPT_RUNNING,
    /** Its image does not exist. */
    IMAGE_NOT_FOUND
  }

  /**
   * One task of a heartbeat.
   *
   * @param name the task
   * @param attempt its attempt number
   * @param state what it is doing
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

  /** Guards against refusing the heartbeats of a machine whose reclaim time has passed: it is 0. */
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

  private static TaskState state(String word) {
    return switch (word) {
      case "running" -> TaskState.RUNNING;
      case "flushing" -> TaskState.SAVING;
      case "exited" -> TaskState.EXITED;
      // A state that this version does not know still occupies the machine.
      default -> TaskState.PULLING;
    };
  }

  private static ExitCause cause(String wordOrNull) {
    return switch (String.valueOf(wordOrNull)) {
      case "done" -> ExitCause.DONE;
      case "error" -> ExitCause.ERROR;
      case "full" -> ExitCause.INSUFFICIENT_RESOURCES;
      case "in_use" -> ExitCause.OTHER_ATTEMPT_RUNNING;
      case "no_such" -> ExitCause.IMAGE_NOT_FOUND;
      default -> ExitCause.STOPPED;
    };
  }
}
