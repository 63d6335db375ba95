package org.dewreach.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobState;
import org.junit.jupiter.api.Test;

/** What a controller knows of jobs that ended, and how much of it it keeps. */
class FinalStateWatcherTest {
  private static final long S = 1_000_000;
  private static final FinalState DONE = new FinalState(JobState.DONE, 3);

  private final Outbox outbox = new Outbox();
  private final FinalStates finalStates = new FinalStates();
  private final FinalStateWatcher watcher =
      new FinalStateWatcher(new KeyValueStore(outbox), finalStates);
  private long now;

  /** The next request, whenever it comes. */
  private Effect.Call nextCall() {
    for (int waited = 0; waited < 100; waited++) {
      watcher.tick(now);
      List<Effect> effects = outbox.drain();
      if (!effects.isEmpty()) {
        assertEquals(1, effects.size(), "one request at a time");
        return (Effect.Call) effects.get(0);
      }
      now += S / 10;
    }
    throw new AssertionError("nothing was asked for");
  }

  private void reply(Effect.Call call, int status, JsonNode body) {
    outbox.reply(now, new Event.Reply(call.callId(), status, body));
  }

  private static ObjectNode page(long revision, boolean more, String... ids) {
    ObjectNode page = Codec.map().put("ledger_rev", revision).put("more", more);
    ArrayNode entries = page.putArray("entries");
    for (String id : ids) {
      entries
          .addObject()
          .put("path", Keys.finalState(id))
          .set("data", FinalStateRecord.encode(DONE));
    }
    return page;
  }

  private static ObjectNode changes(long revision, String... ids) {
    ObjectNode body = Codec.map().put("ledger_rev", revision);
    ArrayNode log = body.putArray("log");
    for (String id : ids) {
      log.addObject().put("put", Keys.finalState(id)).set("data", FinalStateRecord.encode(DONE));
    }
    return body;
  }

  @Test
  void listsAllPagesAndThenWatchesFromTheFirst() {
    reply(nextCall(), 200, page(40, true, "req-1", "req-2"));
    Effect.Call second = nextCall();
    assertTrue(second.path().contains("after=" + Keys.finalState("req-2")), second.path());
    reply(second, 200, page(45, false, "req-3"));
    Effect.Call watch = nextCall();
    assertTrue(watch.path().startsWith("/changes"), watch.path());
    assertTrue(watch.path().contains("after=40&"), watch.path());
    reply(watch, 200, changes(50, "req-4"));
    assertTrue(nextCall().path().contains("after=50&"), "it goes on from what it was told");
    for (String id : List.of("req-1", "req-2", "req-3", "req-4")) {
      assertEquals(DONE, finalStates.get(id), id);
    }
    assertNull(finalStates.get("req-5"));
  }

  @Test
  void whatIsKnownOutlivesAnOutage() {
    reply(nextCall(), 200, page(40, false, "req-1"));
    reply(nextCall(), 503, null);
    Effect.Call again = nextCall();
    assertTrue(again.path().contains("after=40&"), again.path());
    reply(again, 0, null);
    reply(nextCall(), 200, changes(41, "req-2"));
    assertEquals(DONE, finalStates.get("req-1"));
    assertEquals(DONE, finalStates.get("req-2"));
  }

  @Test
  void changesThatAreNotKeptAnyMoreAreListedAnew() {
    reply(nextCall(), 200, page(40, false));
    reply(nextCall(), 410, null);
    Effect.Call list = nextCall();
    assertTrue(list.path().startsWith("/keys?"), list.path());
    assertTrue(!list.path().contains("after="), list.path());
    reply(list, 200, page(20_000, false, "req-1"));
    assertTrue(nextCall().path().contains("after=20000&"), "it watches from the new list");
    assertEquals(DONE, finalStates.get("req-1"));
  }

  @Test
  void theJobsThatEndedLastAreKept() {
    for (int i = 0; i < 3 * FinalStates.MAX_RECENT; i++) {
      finalStates.ended("req-" + i, DONE);
    }
    assertEquals(FinalStates.MAX_RECENT, finalStates.size());
    assertNull(finalStates.get("req-" + (2 * FinalStates.MAX_RECENT - 1)));
    assertEquals(DONE, finalStates.get("req-" + 2 * FinalStates.MAX_RECENT));
  }

  @Test
  void listedStatesGiveWayToEnds() {
    finalStates.ended("req-early", DONE);
    finalStates.listed("req-listed", DONE);
    for (int i = 0; i < FinalStates.MAX_RECENT - 1; i++) {
      finalStates.ended("req-" + i, DONE);
    }
    assertNull(finalStates.get("req-listed"));
    assertEquals(DONE, finalStates.get("req-early"));
    finalStates.listed("req-more", DONE);
    assertNull(finalStates.get("req-more"), "there is no room");
  }
}
