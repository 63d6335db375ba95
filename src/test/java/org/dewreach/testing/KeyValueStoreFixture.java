package org.dewreach.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.store.KeyValueStore;
import org.dewreach.wire.Codec;
import org.dewreach.wire.HttpStatus;

/** A key-value store client whose requests the test inspects and answers. */
public final class KeyValueStoreFixture {
  private static final String STORE_REVISION_FIELD = "ledger_rev";

  private final Outbox outbox = new Outbox();
  private final KeyValueStore store = new KeyValueStore(outbox);

  /** Returns the outbox of the client. */
  public Outbox outbox() {
    return outbox;
  }

  /** Returns the client. */
  public KeyValueStore store() {
    return store;
  }

  /** Returns the requests sent since the last invocation. */
  public List<Effect.Call> requests() {
    List<Effect.Call> requests = new ArrayList<>();
    outbox.drain().forEach(effect -> requests.add((Effect.Call) effect));
    return requests;
  }

  /** Returns the only request sent since the last invocation; fails if there is not exactly one. */
  public Effect.Call onlyRequest() {
    return onlyRequest("");
  }

  /**
   * Returns the only request with this path prefix sent since the last invocation; fails if there
   * is not exactly one.
   */
  public Effect.Call onlyRequest(String pathPrefix) {
    List<Effect.Call> requests = requests();
    requests.removeIf(request -> !request.path().startsWith(pathPrefix));
    assertEquals(1, requests.size(), pathPrefix + " of " + requests);
    return requests.get(0);
  }

  /** Responds to a request. */
  public void reply(Effect.Call request, int status, JsonNode body, long nowMicros) {
    outbox.reply(nowMicros, new Event.Reply(request.callId(), status, body));
  }

  /** Responds to a transaction that it was committed at this revision. */
  public void commit(Effect.Call request, long revision, long nowMicros) {
    reply(request, HttpStatus.OK, Codec.map().put(STORE_REVISION_FIELD, revision), nowMicros);
  }

  /** Responds to a transaction that the precondition on this key failed. */
  public void conflict(Effect.Call request, String key, long nowMicros) {
    ObjectNode body = Codec.map().put(STORE_REVISION_FIELD, 20);
    body.putArray("failed").add(key);
    reply(request, HttpStatus.CONFLICT, body, nowMicros);
  }

  /** Returns an empty page of a list of keys; {@link #addEntry} adds entries. */
  public static ObjectNode page(long storeRevision, boolean more) {
    ObjectNode page = Codec.map().put(STORE_REVISION_FIELD, storeRevision).put("more", more);
    page.putArray("entries");
    return page;
  }

  /** Adds an entry to a page and returns the page. */
  public static ObjectNode addEntry(ObjectNode page, String key, long revision, JsonNode value) {
    ObjectNode entry = ((ArrayNode) page.get("entries")).addObject();
    entry.put("path", key).put("stamp", revision).set("data", value);
    return page;
  }

  /** Returns a watch response without changes; {@link #addPut} adds changes. */
  public static ObjectNode changes(long storeRevision) {
    ObjectNode changes = Codec.map().put(STORE_REVISION_FIELD, storeRevision);
    changes.putArray("log");
    return changes;
  }

  /** Adds a put to a watch response and returns the response. */
  public static ObjectNode addPut(ObjectNode changes, String key, long revision, JsonNode value) {
    ObjectNode put = ((ArrayNode) changes.get("log")).addObject();
    put.put("put", key).put("stamp", revision).set("data", value);
    return changes;
  }
}
