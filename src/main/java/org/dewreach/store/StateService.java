package org.dewreach.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.port.Calls;
import org.dewreach.port.Lane;
import org.dewreach.port.Target;
import org.dewreach.wire.Codec;

/** The requests of the state service. */
public final class StateService {
  private static final long READ_TIMEOUT = 1_500_000;

  private final Calls calls;
  private final Lane lane;

  public StateService(Calls calls) {
    this(calls, Lane.GENERAL);
  }

  public StateService(Calls calls, Lane lane) {
    this.calls = calls;
    this.lane = lane;
  }

  public void get(String key, Calls.ReplyHandler handler) {
    calls.call(Target.STATE, lane, "GET", "/keys/" + key, null, READ_TIMEOUT, handler);
  }

  public void range(String prefix, String after, int most, Calls.ReplyHandler handler) {
    String path = "/keys?under=" + prefix + (after == null ? "" : "&after=" + after);
    calls.call(Target.STATE, lane, "GET", path + "&most=" + most, null, 3_000_000, handler);
  }

  public void watch(String prefix, long afterRevision, long holdMs, Calls.ReplyHandler handler) {
    String path = "/changes?under=" + prefix + "&after=" + afterRevision + "&hold_ms=" + holdMs;
    calls.call(Target.STATE, lane, "GET", path, null, holdMs * 1000 + 3_000_000, handler);
  }

  public void openHold(long ttlMs, long timeoutMicros, Calls.ReplyHandler handler) {
    ObjectNode body = Codec.map().put("ttl_ms", ttlMs);
    calls.call(Target.STATE, lane, "POST", "/holds", body, timeoutMicros, handler);
  }

  public void extendHold(long hold, long timeoutMicros, Calls.ReplyHandler handler) {
    calls.call(
        Target.STATE,
        lane,
        "POST",
        "/holds/" + hold + "/extend",
        Codec.map(),
        timeoutMicros,
        handler);
  }

  public void dropHold(long hold, Calls.ReplyHandler handler) {
    calls.call(Target.STATE, lane, "DELETE", "/holds/" + hold, null, READ_TIMEOUT, handler);
  }

  public void commit(
      List<Condition> conditions,
      List<Change> changes,
      long hold,
      long timeoutMicros,
      Calls.ReplyHandler handler) {
    ObjectNode body = Codec.map();
    ArrayNode when = body.putArray("when");
    for (Condition condition : conditions) {
      when.addObject().put("path", condition.key()).put("stamp", condition.stamp());
    }
    ArrayNode then = body.putArray("then");
    for (Change change : changes) {
      if (change.data() == null) {
        then.addObject().put("remove", change.key());
      } else {
        ObjectNode put = then.addObject().put("put", change.key());
        put.set("data", change.data());
        if (hold > 0) {
          put.put("hold", hold);
        }
      }
    }
    calls.call(Target.STATE, lane, "POST", "/commit", body, timeoutMicros, handler);
  }

  /** The keys named in a 409. */
  public static boolean failed(JsonNode body, String key) {
    if (body != null && body.get("failed") instanceof ArrayNode list) {
      for (JsonNode item : list) {
        if (key.equals(item.asText())) {
          return true;
        }
      }
    }
    return false;
  }
}
