package org.dewreach.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * An in-memory key-value store with the operations that a controller uses. Leases end only when
 * they are revoked; they do not expire.
 */
final class ScriptedKeyValueStore {
  private static final int FIRST_REVISION = 400;
  private static final long MICROS_PER_MS = 1_000;

  /** The maximum number of entries of a page; with 1, longer lists take several pages. */
  int pageSize = 1_000;

  /** The reply to a call, or null for the default one. */
  Function<ControllerUnderTest.SentCall, Reply> replyOverride = call -> null;

  private final TreeMap<String, ObjectNode> entries = new TreeMap<>();
  private final List<ObjectNode> changes = new ArrayList<>();
  private long revision = FIRST_REVISION;
  private long lastLeaseId = 6;

  /** A reply to a call; status 0 means no response. */
  record Reply(int status, JsonNode body) {}

  private static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }

  long revision() {
    return revision;
  }

  /** Returns the value of a key, or null if there is no such key. */
  JsonNode value(String key) {
    ObjectNode entry = entries.get(key);
    return entry == null ? null : entry.get("data");
  }

  /** Puts a key in a transaction of another client; returns its revision. */
  long put(String key, JsonNode data, long lease) {
    revision++;
    putAt(key, data, lease);
    return revision;
  }

  /** Removes a key in a transaction of another client. */
  void remove(String key) {
    revision++;
    removeAt(key);
  }

  private void putAt(String key, JsonNode data, long lease) {
    ObjectNode entry = map().put("path", key).put("stamp", revision);
    entry.set("data", data);
    if (lease > 0) {
      entry.put("hold", lease);
    }
    entries.put(key, entry);
    ObjectNode change = map().put("put", key).put("stamp", revision);
    change.set("data", data);
    changes.add(change);
  }

  private void removeAt(String key) {
    if (entries.remove(key) != null) {
      changes.add(map().put("remove", key).put("stamp", revision));
    }
  }

  /** Returns the reply to a call, or null while a watch has no changes and has not timed out. */
  Reply reply(ControllerUnderTest.SentCall call, long sentAt, long now) {
    Reply scripted = replyOverride.apply(call);
    if (scripted != null) {
      return scripted;
    }
    String path = call.path();
    if (path.startsWith("/changes?")) {
      return watch(query(path), sentAt, now);
    }
    if (path.startsWith("/keys?")) {
      return range(query(path));
    }
    return switch (call.method()) {
      case "GET" -> get(path.substring("/keys/".length()));
      case "DELETE" -> revoke(Long.parseLong(path.substring("/holds/".length())));
      default -> path.equals("/commit") ? commit(call.body()) : lease(path);
    };
  }

  private static Map<String, String> query(String path) {
    Map<String, String> query = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      query.put(part.substring(0, part.indexOf('=')), part.substring(part.indexOf('=') + 1));
    }
    return query;
  }

  private Reply get(String key) {
    ObjectNode entry = entries.get(key);
    return entry == null
        ? new Reply(404, map().put("ledger_rev", revision))
        : new Reply(200, entry);
  }

  private Reply range(Map<String, String> query) {
    ObjectNode response = map().put("ledger_rev", revision).put("more", false);
    ArrayNode page = response.putArray("entries");
    int limit = Math.min(pageSize, Integer.parseInt(query.get("most")));
    for (ObjectNode entry : entries.tailMap(query.getOrDefault("after", ""), false).values()) {
      if (entry.get("path").asText().startsWith(query.get("under"))) {
        if (page.size() == limit) {
          response.put("more", true);
          break;
        }
        page.add(entry);
      }
    }
    return new Reply(200, response);
  }

  private Reply watch(Map<String, String> query, long sentAt, long now) {
    ObjectNode response = map().put("ledger_rev", revision);
    ArrayNode log = response.putArray("log");
    for (ObjectNode change : changes) {
      String key = change.path("put").asText(change.path("remove").asText());
      boolean later = change.get("stamp").asLong() > Long.parseLong(query.get("after"));
      if (later && key.startsWith(query.get("under"))) {
        log.add(change);
      }
    }
    boolean timedOut = now - sentAt >= Long.parseLong(query.get("hold_ms")) * MICROS_PER_MS;
    return log.isEmpty() && !timedOut ? null : new Reply(200, response);
  }

  private Reply commit(JsonNode body) {
    ArrayNode failed = JsonNodeFactory.instance.arrayNode();
    for (JsonNode condition : body.get("when")) {
      ObjectNode entry = entries.get(condition.get("path").textValue());
      if ((entry == null ? 0 : entry.get("stamp").asLong()) != condition.get("stamp").longValue()) {
        failed.add(condition.get("path"));
      }
    }
    ObjectNode response = map();
    if (!failed.isEmpty()) {
      response.set("failed", failed);
      return new Reply(409, response.put("ledger_rev", revision));
    }
    revision++;
    for (JsonNode change : body.get("then")) {
      if (change.has("put")) {
        putAt(change.get("put").textValue(), change.get("data"), change.path("hold").asLong());
      } else {
        removeAt(change.get("remove").textValue());
      }
    }
    return new Reply(200, response.put("ledger_rev", revision));
  }

  private Reply lease(String path) {
    if (path.equals("/holds")) {
      return new Reply(200, map().put("hold", ++lastLeaseId));
    }
    String[] parts = path.split("/");
    boolean extend = parts.length == 4 && parts[1].equals("holds") && parts[3].equals("extend");
    return extend ? new Reply(200, map()) : new Reply(400, null);
  }

  private Reply revoke(long lease) {
    revision++;
    for (ObjectNode entry : List.copyOf(entries.values())) {
      if (entry.path("hold").asLong() == lease) {
        removeAt(entry.get("path").textValue());
      }
    }
    return new Reply(200, map());
  }
}
