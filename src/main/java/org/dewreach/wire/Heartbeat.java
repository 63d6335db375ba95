package org.dewreach.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker's report (`POST /hello`).
 *
 * @param machine the machine's unique name
 * @param address where the worker takes commands
 * @param type the name of the machine type
 * @param zone where the machine is
 * @param spot true if the cloud may take the machine away
 * @param incarnation increases each time the worker's lease expires
 * @param sequence orders the reports of one incarnation
 * @param token the highest token the worker has seen
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
  public enum Cause {
    /** It has not exited. */
    NONE,
    /** It completed. */
    DONE,
    /** It was stopped, or exited in a way that this version does not know. */
    STOPPED,
    /** It failed by itself. */
    ERROR,
    /** The machine had no room for it. */
    FULL,
    /** Another attempt of it runs there. */
    IN_USE,
    /** Its image does not exist. */
    NO_SUCH
  }

  /** One task of a report. */
  public record TaskStatus(TaskName name, long attempt, TaskState state, Cause cause) {}

  /**
   * Parses the body of a report.
   *
   * @throws MalformedException if a field is missing, of the wrong type or out of range
   */
  public static Heartbeat parse(JsonNode body) throws MalformedException {
    ObjectNode map = Fields.map(body);
    if (!(map.get("pieces") instanceof ArrayNode list)) {
      throw new MalformedException("pieces: list expected");
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
        recall(map),
        tasks);
  }

  /** A time that has passed already is none left, not a report to be turned away. */
  private static long recall(ObjectNode map) throws MalformedException {
    boolean passed = map.path("recall_s").isNumber() && map.path("recall_s").doubleValue() < 0;
    return passed ? 0 : Fields.microsOrNone(map, "recall_s");
  }

  private static TaskStatus task(ObjectNode map) throws MalformedException {
    TaskState state =
        switch (Fields.text(map, "standing")) {
          case "running" -> TaskState.RUNNING;
          case "flushing" -> TaskState.SAVING;
          case "exited" -> TaskState.EXITED;
          // A state that this version does not know still occupies the machine.
          default -> TaskState.PULLING;
        };
    Cause cause = Cause.NONE;
    if (state == TaskState.EXITED) {
      cause =
          switch (String.valueOf(Fields.textOrNull(map, "cause"))) {
            case "done" -> Cause.DONE;
            case "error" -> Cause.ERROR;
            case "full" -> Cause.FULL;
            case "in_use" -> Cause.IN_USE;
            case "no_such" -> Cause.NO_SUCH;
            default -> Cause.STOPPED;
          };
    }
    return new TaskStatus(
        TaskName.parse(Fields.text(map, "piece")),
        Fields.count(map, "try", 0, Long.MAX_VALUE),
        state,
        cause);
  }
}
