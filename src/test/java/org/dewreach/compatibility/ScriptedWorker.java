package org.dewreach.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

/** A worker that carries out commands at once; a test says how its tasks go on. */
final class ScriptedWorker {
  final String name;
  final String address;

  /** True if no direct command reaches it. */
  boolean ignoresDirectCalls;

  /** Replies to put in the place of its own; null for none. */
  Function<ControllerUnderTest.SentCall, ScriptedKeyValueStore.Reply> directReplyOverride =
      call -> null;

  long incarnation = 1;
  long sequence;

  /** Seconds until the machine is taken away, or null. */
  Double reclaimS;

  private final String zone;
  private long fencingToken;
  private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();

  ScriptedWorker(String name, String address, String zone) {
    this.name = name;
    this.address = address;
    this.zone = zone;
  }

  /** A task is there, with the given state and, if it has exited, the cause. */
  void putTask(String task, long attempt, String standing, String cause) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("piece", task).put("try", attempt).put("standing", standing);
    if (cause != null) {
      node.put("cause", cause);
    }
    tasks.put(task, node);
  }

  /** All its tasks go on to the given state. */
  void updateAllTasks(String standing, String cause) {
    for (ObjectNode task : Map.copyOf(tasks).values()) {
      putTask(task.get("piece").textValue(), task.get("try").longValue(), standing, cause);
    }
  }

  /** A task that it has goes on to the given state. */
  void updateTask(String task, String standing, String cause) {
    putTask(task, tasks.get(task).get("try").longValue(), standing, cause);
  }

  boolean hasTask(String task) {
    return tasks.containsKey(task);
  }

  int taskCount() {
    return tasks.size();
  }

  /** The next report. */
  ObjectNode nextHeartbeat() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("host", name).put("address", address).put("build", "box").put("site", zone);
    node.put("loaners", false).put("tenure", incarnation).put("tally", ++sequence);
    node.put("warrant", fencingToken).put("recall_s", reclaimS);
    ArrayNode list = node.putArray("pieces");
    tasks.values().forEach(task -> list.add(task.deepCopy()));
    return node;
  }

  /** Carries out the commands of a response or of a direct command. */
  void execute(JsonNode body) {
    fencingToken = Math.max(fencingToken, body.get("warrant").longValue());
    for (JsonNode order : body.get("orders")) {
      String task = order.get("piece").textValue();
      long attempt = order.get("try").longValue();
      switch (order.get("verb").textValue()) {
        case "start" -> {
          if (!tasks.containsKey(task)) {
            putTask(task, attempt, "running", null);
          }
        }
        case "halt" -> putTask(task, attempt, "exited", "stopped");
        case "clear" -> tasks.remove(task);
        default -> throw new IllegalStateException(order.toString());
      }
    }
  }

  /** The reply to a call, or null if none comes. */
  ScriptedKeyValueStore.Reply reply(ControllerUnderTest.SentCall call) {
    if (ignoresDirectCalls) {
      return null;
    }
    ScriptedKeyValueStore.Reply scripted = directReplyOverride.apply(call);
    if (scripted != null) {
      return scripted;
    }
    return new ScriptedKeyValueStore.Reply(
        200, call.path().equals("/do") ? executeAndReport(call.body()) : nextHeartbeat());
  }

  /** The report after commands. */
  ObjectNode executeAndReport(JsonNode body) {
    execute(body);
    return nextHeartbeat();
  }
}
