package org.dewreach.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dewreach.wire.Codec;
import org.dewreach.wire.HttpStatus;

/** The paths, bodies and field names of the key-value store's HTTP interface. */
final class KeyValueCodec {
  /** The path for granting a lease. */
  static final String GRANT_LEASE_PATH = "/holds";

  /** The path for a transaction. */
  static final String TRANSACTION_PATH = "/commit";

  private static final String STORE_REVISION = "ledger_rev";
  private static final String KEY = "path";
  private static final String KEY_REVISION = "stamp";
  private static final String VALUE = "data";
  private static final String LEASE_ID = "hold";
  private static final String LEASE_TTL_MS = "ttl_ms";
  private static final String ENTRIES = "entries";
  private static final String MORE = "more";
  private static final String EVENTS = "log";
  private static final String PRECONDITIONS = "when";
  private static final String MUTATIONS = "then";
  private static final String PUT = "put";
  private static final String DELETE = "remove";
  private static final String FAILED_KEYS = "failed";

  private KeyValueCodec() {}

  static String readPath(String key) {
    return "/keys/" + key;
  }

  static String rangePath(String prefix, String afterKey, int pageSize) {
    String after = afterKey == null ? "" : "&after=" + afterKey;
    return "/keys?under=" + prefix + after + "&most=" + pageSize;
  }

  static String watchPath(String prefix, long afterRevision, long waitMs) {
    return "/changes?under=" + prefix + "&after=" + afterRevision + "&hold_ms=" + waitMs;
  }

  static String renewLeasePath(long leaseId) {
    return leasePath(leaseId) + "/extend";
  }

  static String leasePath(long leaseId) {
    return GRANT_LEASE_PATH + "/" + leaseId;
  }

  static ObjectNode encodeGrantLease(long ttlMs) {
    return Codec.map().put(LEASE_TTL_MS, ttlMs);
  }

  static ObjectNode encodeTransaction(
      List<Precondition> preconditions, List<Mutation> mutations, long leaseId) {
    ObjectNode body = Codec.map();
    ArrayNode when = body.putArray(PRECONDITIONS);
    for (Precondition precondition : preconditions) {
      when.addObject().put(KEY, precondition.key()).put(KEY_REVISION, precondition.revision());
    }
    ArrayNode then = body.putArray(MUTATIONS);
    for (Mutation mutation : mutations) {
      encodeMutation(then.addObject(), mutation, leaseId);
    }
    return body;
  }

  private static void encodeMutation(ObjectNode node, Mutation mutation, long leaseId) {
    if (mutation.isDelete()) {
      node.put(DELETE, mutation.key());
      return;
    }
    node.put(PUT, mutation.key()).set(VALUE, mutation.value());
    if (leaseId > 0) {
      node.put(LEASE_ID, leaseId);
    }
  }

  static ReadResult decodeRead(String key, int status, JsonNode body) {
    return switch (status) {
      case HttpStatus.OK -> decodeEntry(key, required(body));
      case HttpStatus.NOT_FOUND ->
          new ReadResult.Absent(body == null ? 0 : body.path(STORE_REVISION).asLong(0));
      default -> RequestFailure.ofStatus(status);
    };
  }

  static RangeResult decodeRange(int status, JsonNode body) {
    if (status != HttpStatus.OK) {
      return RequestFailure.ofStatus(status);
    }
    List<KeyValue> entries = new ArrayList<>();
    for (JsonNode entry : required(body).path(ENTRIES)) {
      entries.add(decodeEntry(entry.path(KEY).asText(), entry));
    }
    boolean more = body.path(MORE).asBoolean(false) && !entries.isEmpty();
    return new RangePage(entries, body.path(STORE_REVISION).asLong(), more);
  }

  static WatchResult decodeWatch(int status, JsonNode body) {
    if (status == HttpStatus.GONE) {
      return new WatchResult.Compacted();
    }
    if (status != HttpStatus.OK) {
      return RequestFailure.ofStatus(status);
    }
    List<WatchEvent> events = new ArrayList<>();
    for (JsonNode event : required(body).path(EVENTS)) {
      events.add(decodeEvent(event));
    }
    return new WatchBatch(events, body.path(STORE_REVISION).asLong());
  }

  private static WatchEvent decodeEvent(JsonNode event) {
    boolean put = event.hasNonNull(PUT);
    String key = event.path(put ? PUT : DELETE).asText();
    WatchEvent.Type type = put ? WatchEvent.Type.PUT : WatchEvent.Type.DELETE;
    return new WatchEvent(type, decodeEntry(key, event));
  }

  private static KeyValue decodeEntry(String key, JsonNode node) {
    return new KeyValue(
        key, node.path(VALUE), node.path(KEY_REVISION).asLong(), node.path(LEASE_ID).asLong(0));
  }

  static LeaseResult decodeGrantLease(int status, JsonNode body) {
    return status == HttpStatus.OK
        ? new LeaseGrant(required(body).path(LEASE_ID).asLong())
        : RequestFailure.ofStatus(status);
  }

  static LeaseResult decodeRenewLease(long leaseId, int status) {
    return switch (status) {
      case HttpStatus.OK -> new LeaseGrant(leaseId);
      case HttpStatus.NOT_FOUND -> new LeaseResult.Expired();
      default -> RequestFailure.ofStatus(status);
    };
  }

  static LeaseResult decodeRevokeLease(int status) {
    return status == HttpStatus.OK || status == HttpStatus.NOT_FOUND
        ? new LeaseResult.Expired()
        : RequestFailure.ofStatus(status);
  }

  static TransactionResult decodeTransaction(int status, JsonNode body) {
    return switch (status) {
      case HttpStatus.OK ->
          new TransactionResult.Committed(required(body).path(STORE_REVISION).asLong());
      case HttpStatus.CONFLICT -> new TransactionResult.PreconditionFailed(failedKeys(body));
      default -> RequestFailure.ofStatus(status);
    };
  }

  private static Set<String> failedKeys(JsonNode body) {
    Set<String> keys = new HashSet<>();
    if (body != null && body.get(FAILED_KEYS) instanceof ArrayNode list) {
      list.forEach(item -> keys.add(item.asText()));
    }
    return keys;
  }

  /**
   * Returns the body of a successful response. A success without a readable body is a fault of the
   * store from which this process cannot continue.
   */
  private static JsonNode required(JsonNode body) {
    if (body == null) {
      throw new IllegalStateException(
          "key-value store response with status 200 has no readable body");
    }
    return body;
  }
}
