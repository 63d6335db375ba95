package org.dewreach.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.dewreach.port.Calls;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.wire.Codec;
import org.junit.jupiter.api.Test;

/** Whose turn it is when more is to be written than the rate allows. */
class WritePriorityTest {
  private static final int TXN_OPS = 4;

  private final Calls calls = new Calls();
  private final List<String> written = new ArrayList<>();
  private final CommitQueue queue =
      new CommitQueue(
          new StateService(calls),
          new Condition("dw/leader", 9),
          TXN_OPS,
          new RateBudget(100, 100),
          () -> {});

  private void add(int count, Write.Priority priority) {
    for (int i = 0; i < count; i++) {
      String key = priority.name() + i;
      queue.add(
          0,
          new Write(
              List.of(),
              List.of(new Change(key, CommitQueue.value())),
              priority,
              (now, outcome, revision) -> written.add(priority.name())));
    }
  }

  /** Answers the transaction that is in flight; the next one is sent then. */
  private void answerOne() {
    List<Effect> effects = calls.drain();
    assertEquals(1, effects.size(), effects.toString());
    Effect.Call call = (Effect.Call) effects.get(0);
    JsonNode body = Codec.map().put("ledger_rev", 10);
    calls.reply(0, new Event.Reply(call.callId(), 200, body));
  }

  private long writtenOf(Write.Priority priority) {
    return written.stream().filter(priority.name()::equals).count();
  }

  /** Turns red without the queue's turns by priority ({@code CommitQueue.next}). */
  @Test
  void requestsDoNotWaitForABacklog() {
    add(1, Write.Priority.NORMAL);
    add(40, Write.Priority.NORMAL);
    add(2, Write.Priority.REQUEST);
    answerOne();
    answerOne();
    assertEquals(2, writtenOf(Write.Priority.REQUEST), written.toString());
  }

  /** Turns red without the equal shares ({@code CommitQueue.account}). */
  @Test
  void aBacklogIsWrittenThoughRequestsKeepComing() {
    add(1, Write.Priority.REQUEST);
    add(40, Write.Priority.REQUEST);
    add(10, Write.Priority.NORMAL);
    for (int i = 0; i < 6; i++) {
      answerOne();
    }
    assertEquals(10, writtenOf(Write.Priority.NORMAL), written.toString());
  }

  /** Turns red if background writes take turns with others. */
  @Test
  void whatNobodyWaitsForComesLast() {
    add(1, Write.Priority.BACKGROUND);
    add(4, Write.Priority.BACKGROUND);
    add(4, Write.Priority.NORMAL);
    add(4, Write.Priority.REQUEST);
    for (int i = 0; i < 3; i++) {
      answerOne();
    }
    assertEquals(1, writtenOf(Write.Priority.BACKGROUND), written.toString());
  }
}
