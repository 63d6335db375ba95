package org.dewreach.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.wire.Codec;
import org.junit.jupiter.api.Test;

/** Grouped writes: outcomes, repeats and refusals. */
class CommitQueueTest {
  private final Outbox outbox = new Outbox();
  private final List<String> outcomes = new ArrayList<>();
  private boolean lost;
  private final CommitQueue queue =
      new CommitQueue(
          new KeyValueStore(outbox),
          new Precondition("dw/leader", 9),
          4,
          new TokenBucket(100, 100),
          () -> lost = true);

  private void add(String key) {
    queue.add(
        0,
        new ConditionalWrite(
            List.of(new Precondition(key, 0)),
            List.of(Mutation.put(key, Codec.map())),
            true,
            (now, outcome, revision) -> outcomes.add(key + " " + outcome)));
  }

  private Effect.Call sent() {
    List<Effect> effects = outbox.drain();
    assertEquals(1, effects.size(), effects.toString());
    return (Effect.Call) effects.get(0);
  }

  private void reply(Effect.Call call, int status, JsonNode body) {
    outbox.reply(1_000_000, new Event.Reply(call.callId(), status, body));
  }

  private static ObjectNode conflict(String key) {
    ObjectNode body = Codec.map().put("ledger_rev", 20);
    body.putArray("failed").add(key);
    return body;
  }

  @Test
  void waitingWritesShareOneTransaction() {
    add("a");
    Effect.Call first = sent();
    add("b");
    add("c");
    assertTrue(outbox.drain().isEmpty(), "one in flight");
    reply(first, 200, Codec.map().put("ledger_rev", 10));
    Effect.Call second = sent();
    assertEquals(2, second.body().path("then").size());
    assertEquals("dw/leader", second.body().path("when").get(0).path("path").asText());
    reply(second, 200, Codec.map().put("ledger_rev", 11));
    assertEquals(List.of("a WRITTEN", "b WRITTEN", "c WRITTEN"), outcomes);
  }

  @Test
  void aWriteThatFailsDoesNotTakeTheOthersWithIt() {
    add("x");
    reply(sent(), 503, null);
    add("a");
    queue.tick(2_000_000);
    reply(sent(), 200, Codec.map().put("ledger_rev", 10));
    Effect.Call second = sent();
    add("b");
    reply(second, 409, conflict("a"));
    reply(sent(), 200, Codec.map().put("ledger_rev", 11));
    assertEquals(List.of("x WRITTEN", "a CONFLICT", "b WRITTEN"), outcomes);
  }

  /** Guards against telling a user "conflict" for a write that had been applied unanswered. */
  @Test
  void anEarlierCopyThatWasAppliedIsRecognised() {
    add("a");
    Effect.Call first = sent();
    String mark = first.body().path("then").get(0).path("data").path("w").asText();
    reply(first, 0, null);
    queue.tick(2_000_000);
    Effect.Call again = sent();
    assertEquals(first.body(), again.body(), "sent again unchanged");
    reply(again, 409, conflict("a"));
    Effect.Call check = sent();
    assertEquals("/keys/a", check.path());
    ObjectNode found = Codec.map().put("stamp", 15);
    found.putObject("data").put("w", mark);
    reply(check, 200, found);
    assertEquals(List.of("a WRITTEN"), outcomes);
  }

  @Test
  void theLeaderKeyGoneEndsTheTerm() {
    add("a");
    reply(sent(), 409, conflict("dw/leader"));
    assertTrue(lost);
    queue.close(0);
    assertEquals(List.of("a UNKNOWN"), outcomes);
  }

  /** Guards against one write that is always refused ending the term by taking others with it. */
  @Test
  void aRefusedWriteFailsAlone() {
    add("first");
    Effect.Call before = sent();
    add("a");
    add("bad");
    add("b");
    reply(before, 200, Codec.map().put("ledger_rev", 10));
    reply(sent(), 400, null);
    for (int i = 0; i < 3; i++) {
      Effect.Call call = sent();
      assertEquals(1, call.body().path("then").size());
      boolean bad = call.body().at("/then/0/put").asText().equals("bad");
      reply(call, bad ? 400 : 200, Codec.map().put("ledger_rev", 11 + i));
    }
    assertEquals(List.of("first WRITTEN", "a WRITTEN", "bad CONFLICT", "b WRITTEN"), outcomes);
  }

  private final ConditionalWrite ending =
      new ConditionalWrite(
          List.of(new Precondition("ending", 0)),
          List.of(Mutation.put("ending", Codec.map())),
          true,
          (now, outcome, revision) -> outcomes.add("ending " + outcome));

  @Test
  void aWriteThatWaitsIsNotInDoubt() {
    add("a");
    Effect.Call first = sent();
    queue.add(0, ending);
    assertFalse(queue.inDoubt(ending), "it was not sent");
    reply(first, 200, Codec.map().put("ledger_rev", 10));
    Effect.Call second = sent();
    assertTrue(queue.inDoubt(ending), "it is on its way");
    reply(second, 200, Codec.map().put("ledger_rev", 11));
    assertFalse(queue.inDoubt(ending), "it is written");
  }

  @Test
  void aWriteThatWasNotExecutedIsNotInDoubt() {
    queue.add(0, ending);
    reply(sent(), 503, null);
    assertFalse(queue.inDoubt(ending), "503: not executed");
    queue.tick(2_000_000);
    Effect.Call again = sent();
    assertTrue(queue.inDoubt(ending), "it is on its way again");
    reply(again, 429, null);
    assertFalse(queue.inDoubt(ending), "429: not executed");
  }

  @Test
  void aWriteWithoutAnAnswerStaysInDoubtUntilItsOutcomeIsKnown() {
    queue.add(0, ending);
    reply(sent(), 0, null);
    assertTrue(queue.inDoubt(ending), "it may have been applied");
    queue.tick(2_000_000);
    reply(sent(), 503, null);
    assertTrue(queue.inDoubt(ending), "the copy before it may have been applied");
    queue.tick(4_000_000);
    reply(sent(), 200, Codec.map().put("ledger_rev", 11));
    assertFalse(queue.inDoubt(ending), "it is written");
  }
}
