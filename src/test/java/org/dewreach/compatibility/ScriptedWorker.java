package org.dewreach.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

/** A worker that executes commands at once; the test sets the further states of its tasks. */
final class ScriptedWorker {
  final String name;
  final String address;

  /** True if direct commands and status requests do not reach the worker. */
  boolean ignoresDirectCalls;

  /** The reply to a direct command or status request, or null for the default one. */
  Function<ControllerUnderTest.SentCall, ScriptedKeyValueStore.Reply> directReplyOverride =
      call -> null;

  long incarnation = 1;
  long sequence;

  /** The seconds until the cloud reclaims the machine, or null. */
  Double reclaimS;

  private final String zone;
  private long fencingToken;
  private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();

  ScriptedWorker(String name, String address, String zone) {
    this.name = name;
    this.address = address;
    this.zone = zone;
  }

  /** Adds or replaces a task with the given state and exit cause; a null cause means none. */
  void putTask(String task, long attempt, String state, String cause) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("piece", task).put("try", attempt).put("standing", state);
    if (cause != null) {
      node.put("cause", cause);
    }
    tasks.put(task, node);
  }

  /** Sets the state of all tasks. */
  void updateAllTasks(String state, String cause) {
    for (ObjectNode task : Map.copyOf(tasks).values()) {
      putTask(task.get("piece").textValue(), task.get("try").longValue(), state, cause);
    }
  }

  /** Sets the state of a task that the worker has. */
  void updateTask(String task, String state, String cause) {
    putTask(task, tasks.get(task).get("try").longValue(), state, cause);
  }

  boolean hasTask(String task) {
    return tasks.containsKey(task);
  }

  int taskCount() {
    return tasks.size();
  }

  /** Returns the next heartbeat. */
  ObjectNode nextHeartbeat() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("host", name).put("address", address).put("build", "box").put("site", zone);
    node.put("loaners", false).put("tenure", incarnation).put("tally", ++sequence);
    node.put("warrant", fencingToken).put("recall_s", reclaimS);
    ArrayNode list = node.putArray("pieces");
    tasks.values().forEach(task -> list.add(task.deepCopy()));
    return node;
  }

  /** Executes the commands of a heartbeat response or a direct command request. */
  void execute(JsonNode body) {
    fencingToken = Math.max(fencingToken, body.get("warrant").longValue());
    for (JsonNode command : body.get("orders")) {
      String task = command.get("piece").textValue();
      long attempt = command.get("try").longValue();
      switch (command.get("verb").textValue()) {
        case "start" -> {
          if (!tasks.containsKey(task)) {
            putTask(task, attempt, "running", null);
          }
        }
        case "halt" -> putTask(task, attempt, "exited", "stopped");
        case "clear" -> tasks.remove(task);
        default -> throw new IllegalStateException(command.toString());
      }
    }
  }

  /** Returns the reply to a call, or null for no response. */
  ScriptedKeyValueStore.Reply reply(ControllerUnderTest.SentCall call) {
    if (ignoresDirectCalls) {
      return null;
    }
    ScriptedKeyValueStore.Reply scripted = directReplyOverride.apply(call);
    if (scripted != null) {
      return scripted;
    }
    return new ScriptedKeyValueStore.Reply(
        200, call.path().equals("/do") ? executeAndReturnHeartbeat(call.body()) : nextHeartbeat());
  }

  /** Executes commands and returns the next heartbeat. */
  ObjectNode executeAndReturnHeartbeat(JsonNode body) {
    execute(body);
    return nextHeartbeat();
  }
}
