package org.dewreach.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.dewreach.port.ConnectionPool;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.wire.Codec;

/** Client of the consensus-backed key-value store: typed requests and results. */
public final class KeyValueStore {
  private static final long READ_TIMEOUT_MICROS = 1_500_000;
  private static final long RANGE_TIMEOUT_MICROS = 3_000_000;

  /** Added to the time for which the store may hold a watch open. */
  private static final long WATCH_SLACK_MICROS = 3_000_000;

  private static final long MICROS_PER_MS = 1_000;

  private final Outbox outbox;
  private final ConnectionPool pool;

  /** Creates a client that uses the general connections. */
  public KeyValueStore(Outbox outbox) {
    this(outbox, ConnectionPool.GENERAL);
  }

  /** Creates a client that uses the connections of the given pool. */
  public KeyValueStore(Outbox outbox, ConnectionPool pool) {
    this.outbox = outbox;
    this.pool = pool;
  }

  /** Reads one key. */
  public void get(String key, ResultHandler<ReadResult> handler) {
    send(
        "GET",
        KeyValueCodec.readPath(key),
        null,
        READ_TIMEOUT_MICROS,
        (now, status, body) -> handler.onResult(now, KeyValueCodec.decodeRead(key, status, body)));
  }

  /**
   * Reads a page of the keys that begin with a prefix, in order.
   *
   * @param afterKey the last key of the previous page, or null for the first page
   * @param pageSize the maximum number of entries; the store may return fewer
   */
  public void range(
      String prefix, String afterKey, int pageSize, ResultHandler<RangeResult> handler) {
    send(
        "GET",
        KeyValueCodec.rangePath(prefix, afterKey, pageSize),
        null,
        RANGE_TIMEOUT_MICROS,
        (now, status, body) -> handler.onResult(now, KeyValueCodec.decodeRange(status, body)));
  }

  /**
   * Waits for changes of keys that begin with a prefix (long poll).
   *
   * @param afterRevision the last revision that the caller has seen
   * @param waitMs how long the store may wait for a change before it responds
   */
  public void watch(
      String prefix, long afterRevision, long waitMs, ResultHandler<WatchResult> handler) {
    send(
        "GET",
        KeyValueCodec.watchPath(prefix, afterRevision, waitMs),
        null,
        waitMs * MICROS_PER_MS + WATCH_SLACK_MICROS,
        (now, status, body) -> handler.onResult(now, KeyValueCodec.decodeWatch(status, body)));
  }

  /** Grants a lease: keys that are written with it are deleted when it expires. */
  public void grantLease(long ttlMs, long timeoutMicros, ResultHandler<LeaseResult> handler) {
    send(
        "POST",
        KeyValueCodec.GRANT_LEASE_PATH,
        KeyValueCodec.encodeGrantLease(ttlMs),
        timeoutMicros,
        (now, status, body) -> handler.onResult(now, KeyValueCodec.decodeGrantLease(status, body)));
  }

  /** Renews a lease for its full TTL. */
  public void renewLease(long leaseId, long timeoutMicros, ResultHandler<LeaseResult> handler) {
    send(
        "POST",
        KeyValueCodec.renewLeasePath(leaseId),
        Codec.map(),
        timeoutMicros,
        (now, status, body) ->
            handler.onResult(now, KeyValueCodec.decodeRenewLease(leaseId, status)));
  }

  /**
   * Revokes a lease and deletes the keys written with it. The result is the same if the lease had
   * already expired.
   */
  public void revokeLease(long leaseId, ResultHandler<LeaseResult> handler) {
    send(
        "DELETE",
        KeyValueCodec.leasePath(leaseId),
        null,
        READ_TIMEOUT_MICROS,
        (now, status, body) -> handler.onResult(now, KeyValueCodec.decodeRevokeLease(status)));
  }

  /**
   * Executes a transaction: all mutations if all preconditions hold, or none.
   *
   * @param leaseId the lease that puts are attached to, or 0
   */
  public void commit(
      List<Precondition> preconditions,
      List<Mutation> mutations,
      long leaseId,
      long timeoutMicros,
      ResultHandler<TransactionResult> handler) {
    send(
        "POST",
        KeyValueCodec.TRANSACTION_PATH,
        KeyValueCodec.encodeTransaction(preconditions, mutations, leaseId),
        timeoutMicros,
        (now, status, body) ->
            handler.onResult(now, KeyValueCodec.decodeTransaction(status, body)));
  }

  private void send(
      String method, String path, JsonNode body, long timeoutMicros, Outbox.ReplyHandler handler) {
    outbox.call(Target.STATE, pool, method, path, body, timeoutMicros, handler);
  }
}
