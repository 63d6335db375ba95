package org.dewreach.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.port.ConnectionPool;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.wire.Codec;

/** The requests of the state service. */
public final class KeyValueStore {
  private static final long READ_TIMEOUT_MICROS = 1_500_000;
  private static final long RANGE_TIMEOUT_MICROS = 3_000_000;

  /** Beyond the time for which the service was asked to wait. */
  private static final long WATCH_SLACK_MICROS = 3_000_000;

  private static final long MICROS_PER_MS = 1_000;

  private final Outbox outbox;
  private final ConnectionPool pool;

  /** A client that sends its requests through the given calls. */
  public KeyValueStore(Outbox outbox) {
    this(outbox, ConnectionPool.GENERAL);
  }

  /** A client whose requests use the connections of the given lane. */
  public KeyValueStore(Outbox outbox, ConnectionPool pool) {
    this.outbox = outbox;
    this.pool = pool;
  }

  /** Reads one key; 404 if it does not exist. */
  public void get(String key, Outbox.ReplyHandler handler) {
    outbox.call(Target.STATE, pool, "GET", "/keys/" + key, null, READ_TIMEOUT_MICROS, handler);
  }

  /**
   * Reads the keys that begin with a prefix, in order.
   *
   * @param after the last key of the page before, or null
   * @param most the size of a page
   */
  public void range(String prefix, String after, int most, Outbox.ReplyHandler handler) {
    String path = "/keys?under=" + prefix + (after == null ? "" : "&after=" + after);
    outbox.call(
        Target.STATE, pool, "GET", path + "&most=" + most, null, RANGE_TIMEOUT_MICROS, handler);
  }

  /**
   * Waits for changes of keys that begin with a prefix.
   *
   * @param afterRevision the last revision that is known
   * @param waitMs how long the service may wait for a change before it answers
   */
  public void watch(String prefix, long afterRevision, long waitMs, Outbox.ReplyHandler handler) {
    String path = "/changes?under=" + prefix + "&after=" + afterRevision + "&hold_ms=" + waitMs;
    outbox.call(
        Target.STATE,
        pool,
        "GET",
        path,
        null,
        waitMs * MICROS_PER_MS + WATCH_SLACK_MICROS,
        handler);
  }

  /** Grants a lease: keys that are written with it are deleted when it ends. */
  public void openLease(long ttlMs, long timeoutMicros, Outbox.ReplyHandler handler) {
    ObjectNode body = Codec.map().put("ttl_ms", ttlMs);
    outbox.call(Target.STATE, pool, "POST", "/holds", body, timeoutMicros, handler);
  }

  /** Renews a lease for its full time. */
  public void renewLease(long leaseId, long timeoutMicros, Outbox.ReplyHandler handler) {
    outbox.call(
        Target.STATE,
        pool,
        "POST",
        "/holds/" + leaseId + "/extend",
        Codec.map(),
        timeoutMicros,
        handler);
  }

  /** Revokes a lease, and deletes the keys written with it. */
  public void revokeLease(long leaseId, Outbox.ReplyHandler handler) {
    outbox.call(
        Target.STATE, pool, "DELETE", "/holds/" + leaseId, null, READ_TIMEOUT_MICROS, handler);
  }

  /**
   * One transaction: all changes if all conditions hold, or none (409).
   *
   * @param leaseId the lease that puts are attached to, or 0
   */
  public void commit(
      List<Precondition> conditions,
      List<Mutation> changes,
      long leaseId,
      long timeoutMicros,
      Outbox.ReplyHandler handler) {
    ObjectNode body = Codec.map();
    ArrayNode when = body.putArray("when");
    for (Precondition condition : conditions) {
      when.addObject().put("path", condition.key()).put("stamp", condition.stamp());
    }
    ArrayNode then = body.putArray("then");
    for (Mutation change : changes) {
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
    outbox.call(Target.STATE, pool, "POST", "/commit", body, timeoutMicros, handler);
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
