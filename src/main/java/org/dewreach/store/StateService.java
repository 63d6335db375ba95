package org.dewreach.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.port.Calls;
import org.dewreach.port.ConnectionPool;
import org.dewreach.port.Target;
import org.dewreach.wire.Codec;

/** The requests of the state service. */
public final class StateService {
  private static final long READ_TIMEOUT_MICROS = 1_500_000;
  private static final long RANGE_TIMEOUT_MICROS = 3_000_000;

  /** Beyond the time for which the service was asked to wait. */
  private static final long WATCH_SLACK_MICROS = 3_000_000;

  private static final long MICROS_PER_MS = 1_000;

  private final Calls calls;
  private final ConnectionPool pool;

  /** A client that sends its requests through the given calls. */
  public StateService(Calls calls) {
    this(calls, ConnectionPool.GENERAL);
  }

  /** A client whose requests use the connections of the given lane. */
  public StateService(Calls calls, ConnectionPool pool) {
    this.calls = calls;
    this.pool = pool;
  }

  /** Reads one key; 404 if it does not exist. */
  public void get(String key, Calls.ReplyHandler handler) {
    calls.call(Target.STATE, pool, "GET", "/keys/" + key, null, READ_TIMEOUT_MICROS, handler);
  }

  /**
   * Reads the keys that begin with a prefix, in order.
   *
   * @param after the last key of the page before, or null
   * @param most the size of a page
   */
  public void range(String prefix, String after, int most, Calls.ReplyHandler handler) {
    String path = "/keys?under=" + prefix + (after == null ? "" : "&after=" + after);
    calls.call(
        Target.STATE, pool, "GET", path + "&most=" + most, null, RANGE_TIMEOUT_MICROS, handler);
  }

  /**
   * Waits for changes of keys that begin with a prefix.
   *
   * @param afterRevision the last revision that is known
   * @param waitMs how long the service may wait for a change before it answers
   */
  public void watch(String prefix, long afterRevision, long waitMs, Calls.ReplyHandler handler) {
    String path = "/changes?under=" + prefix + "&after=" + afterRevision + "&hold_ms=" + waitMs;
    calls.call(
        Target.STATE,
        pool,
        "GET",
        path,
        null,
        waitMs * MICROS_PER_MS + WATCH_SLACK_MICROS,
        handler);
  }

  /** Grants a lease: keys that are written with it are deleted when it ends. */
  public void openLease(long ttlMs, long timeoutMicros, Calls.ReplyHandler handler) {
    ObjectNode body = Codec.map().put("ttl_ms", ttlMs);
    calls.call(Target.STATE, pool, "POST", "/holds", body, timeoutMicros, handler);
  }

  /** Renews a lease for its full time. */
  public void renewLease(long leaseId, long timeoutMicros, Calls.ReplyHandler handler) {
    calls.call(
        Target.STATE,
        pool,
        "POST",
        "/holds/" + leaseId + "/extend",
        Codec.map(),
        timeoutMicros,
        handler);
  }

  /** Revokes a lease, and deletes the keys written with it. */
  public void revokeLease(long leaseId, Calls.ReplyHandler handler) {
    calls.call(
        Target.STATE, pool, "DELETE", "/holds/" + leaseId, null, READ_TIMEOUT_MICROS, handler);
  }

  /**
   * One transaction: all changes if all conditions hold, or none (409).
   *
   * @param leaseId the lease that puts are attached to, or 0
   */
  public void commit(
      List<Condition> conditions,
      List<Change> changes,
      long leaseId,
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
        if (leaseId > 0) {
          put.put("hold", leaseId);
        }
      }
    }
    calls.call(Target.STATE, pool, "POST", "/commit", body, timeoutMicros, handler);
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
