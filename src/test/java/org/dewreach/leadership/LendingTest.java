package org.dewreach.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.wire.Codec;
import org.junit.jupiter.api.Test;

class LendingTest {
  private static final long S = 1_000_000;

  /** A cancellation has 30 s, a lease 10 s: 20 s less drift and the margin can be lent. */
  private static final Settings.Workers WORKERS = new Settings.Workers(S, 10 * S, 30 * S);

  private static Settings settings() {
    Settings.Address any = new Settings.Address("127.0.0.1", 1);
    return new Settings(
        "n0",
        "a",
        any,
        any,
        List.of(new Settings.Member("n2", "b", any)),
        any,
        any,
        List.of("a", "b"),
        0,
        Map.of(),
        List.of(),
        WORKERS,
        null,
        null,
        null);
  }

  private static ObjectNode asked(long echo, long answeredAgo, long up) {
    return Codec.map()
        .put("node", "n2")
        .put("echo", echo)
        .put("answered_ago", answeredAgo)
        .put("up", up);
  }

  @Test
  void aNodeThatWasNotHeardMayAnswerForAsLongAsAnEarlierLeaderCanHaveLent() {
    Lending lending = new Lending(7, settings(), () -> Long.MIN_VALUE);
    lending.acts(100 * S);
    assertEquals(100 * S + WORKERS.standInMicros(), lending.answeredUntil("b", 105 * S));
    assertEquals(Long.MIN_VALUE, lending.answeredUntil("a", 105 * S), "no other node is there");
  }

  @Test
  void aNodeInContactAnswersNobody() {
    Lending lending = new Lending(7, settings(), () -> Long.MIN_VALUE);
    lending.acts(100 * S);
    long at = lending.onAsked(asked(-1, -1, 90 * S), 18 * S, 101 * S).path("at").asLong();
    lending.onAsked(asked(at, -1, 91 * S), 18 * S, 102 * S);
    assertTrue(lending.answeredUntil("b", 103 * S) < 100 * S, "it never stood in");
    assertEquals(120 * S, lending.answeredUntil("b", 110 * S), "out of contact since");
  }

  /** Guards against an asking that a cut held back: it says nothing of the time since. */
  @Test
  void anAskingThatWasHeldUpProvesNothing() {
    Lending lending = new Lending(7, settings(), () -> Long.MIN_VALUE);
    lending.acts(100 * S);
    long at = lending.onAsked(asked(-1, -1, 90 * S), 18 * S, 101 * S).path("at").asLong();
    lending.onAsked(asked(at, -1, 91 * S), 18 * S, 102 * S);
    lending.onAsked(asked(at, -1, 91 * S), 18 * S, 130 * S);
    assertEquals(148 * S, lending.answeredUntil("b", 131 * S));
  }

  /** Guards against a process that forgot, being started anew, that it had stood in. */
  @Test
  void aNodeThatWasStartedAnewMayHaveAnsweredBefore() {
    Lending lending = new Lending(7, settings(), () -> Long.MIN_VALUE);
    lending.acts(100 * S);
    long at = lending.onAsked(asked(-1, -1, S), 0, 110 * S).path("at").asLong();
    lending.onAsked(asked(at, -1, 2 * S), 0, 111 * S);
    long until = lending.answeredUntil("b", 112 * S);
    assertTrue(until >= 109 * S && until < 110 * S, "until its start: " + until);
  }
}
