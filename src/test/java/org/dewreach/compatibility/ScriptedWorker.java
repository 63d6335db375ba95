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
  boolean deaf;

  /** Replies to put in the place of its own; null for none. */
  Function<ControllerUnderTest.Sent, ScriptedKeyValueStore.Reply> direct = call -> null;

  long tenure = 1;
  long tally;

  /** Seconds until the machine is taken away, or null. */
  Double recall;

  private final String site;
  private long warrant;
  private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();

  ScriptedWorker(String name, String address, String site) {
    this.name = name;
    this.address = address;
    this.site = site;
  }

  /** A task is there, with the given state and, if it has exited, the cause. */
  void has(String task, long attempt, String standing, String cause) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("piece", task).put("try", attempt).put("standing", standing);
    if (cause != null) {
      node.put("cause", cause);
    }
    tasks.put(task, node);
  }

  /** All its tasks go on to the given state. */
  void all(String standing, String cause) {
    for (ObjectNode task : Map.copyOf(tasks).values()) {
      has(task.get("piece").textValue(), task.get("try").longValue(), standing, cause);
    }
  }

  /** A task that it has goes on to the given state. */
  void becomes(String task, String standing, String cause) {
    has(task, tasks.get(task).get("try").longValue(), standing, cause);
  }

  boolean knows(String task) {
    return tasks.containsKey(task);
  }

  int count() {
    return tasks.size();
  }

  /** The next report. */
  ObjectNode report() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("host", name).put("address", address).put("build", "box").put("site", site);
    node.put("loaners", false).put("tenure", tenure).put("tally", ++tally);
    node.put("warrant", warrant).put("recall_s", recall);
    ArrayNode list = node.putArray("pieces");
    tasks.values().forEach(task -> list.add(task.deepCopy()));
    return node;
  }

  /** Carries out the commands of a response or of a direct command. */
  void execute(JsonNode body) {
    warrant = Math.max(warrant, body.get("warrant").longValue());
    for (JsonNode order : body.get("orders")) {
      String task = order.get("piece").textValue();
      long attempt = order.get("try").longValue();
      switch (order.get("verb").textValue()) {
        case "start" -> {
          if (!tasks.containsKey(task)) {
            has(task, attempt, "running", null);
          }
        }
        case "halt" -> has(task, attempt, "exited", "stopped");
        case "clear" -> tasks.remove(task);
        default -> throw new IllegalStateException(order.toString());
      }
    }
  }

  /** The reply to a call, or null if none comes. */
  ScriptedKeyValueStore.Reply reply(ControllerUnderTest.Sent call) {
    if (deaf) {
      return null;
    }
    ScriptedKeyValueStore.Reply scripted = direct.apply(call);
    if (scripted != null) {
      return scripted;
    }
    return new ScriptedKeyValueStore.Reply(
        200, call.path().equals("/do") ? executed(call.body()) : report());
  }

  /** The report after commands. */
  ObjectNode executed(JsonNode body) {
    execute(body);
    return report();
  }
}
