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

/** A client of the key-value store whose requests the test sees and answers. */
public final class KeyValueStoreFixture {
  private static final String STORE_REVISION = "ledger_rev";

  private final Outbox outbox = new Outbox();
  private final KeyValueStore store = new KeyValueStore(outbox);

  /** The outbox of the client. */
  public Outbox outbox() {
    return outbox;
  }

  /** The client. */
  public KeyValueStore store() {
    return store;
  }

  /** The requests since the last time. */
  public List<Effect.Call> requests() {
    List<Effect.Call> requests = new ArrayList<>();
    outbox.drain().forEach(effect -> requests.add((Effect.Call) effect));
    return requests;
  }

  /** The request since the last time, which has to be the only one. */
  public Effect.Call onlyRequest() {
    return onlyRequest("");
  }

  /** The request since the last time whose path begins like this, which has to be the only one. */
  public Effect.Call onlyRequest(String pathPrefix) {
    List<Effect.Call> requests = requests();
    requests.removeIf(request -> !request.path().startsWith(pathPrefix));
    assertEquals(1, requests.size(), pathPrefix + " of " + requests);
    return requests.get(0);
  }

  /** Answers a request. */
  public void reply(Effect.Call request, int status, JsonNode body, long nowMicros) {
    outbox.reply(nowMicros, new Event.Reply(request.callId(), status, body));
  }

  /** Answers a transaction: it was executed at this revision. */
  public void commit(Effect.Call request, long revision, long nowMicros) {
    reply(request, HttpStatus.OK, Codec.map().put(STORE_REVISION, revision), nowMicros);
  }

  /** Answers a transaction: this key was not at its expected revision. */
  public void conflict(Effect.Call request, String key, long nowMicros) {
    ObjectNode body = Codec.map().put(STORE_REVISION, 20);
    body.putArray("failed").add(key);
    reply(request, HttpStatus.CONFLICT, body, nowMicros);
  }

  /** A page of keys without entries yet; {@link #addEntry} adds them. */
  public static ObjectNode page(long storeRevision, boolean more) {
    ObjectNode page = Codec.map().put(STORE_REVISION, storeRevision).put("more", more);
    page.putArray("entries");
    return page;
  }

  /** Adds an entry to a page. */
  public static ObjectNode addEntry(ObjectNode page, String key, long revision, JsonNode value) {
    ObjectNode entry = ((ArrayNode) page.get("entries")).addObject();
    entry.put("path", key).put("stamp", revision).set("data", value);
    return page;
  }

  /** What a watch reports, without changes yet; {@link #addPut} adds them. */
  public static ObjectNode changes(long storeRevision) {
    ObjectNode changes = Codec.map().put(STORE_REVISION, storeRevision);
    changes.putArray("log");
    return changes;
  }

  /** Adds a put to what a watch reports. */
  public static ObjectNode addPut(ObjectNode changes, String key, long revision, JsonNode value) {
    ObjectNode put = ((ArrayNode) changes.get("log")).addObject();
    put.put("put", key).put("stamp", revision).set("data", value);
    return changes;
  }
}
