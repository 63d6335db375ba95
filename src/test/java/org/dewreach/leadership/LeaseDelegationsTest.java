package org.dewreach.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.wire.Codec;
import org.junit.jupiter.api.Test;

/** Until when a leader reckons with what delegates may have answered. */
class LeaseDelegationsTest {
  private static final long S = 1_000_000;

  /** A cancellation has 30 s, a lease 10 s: 20 s less drift and the margin can be delegated. */
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

  private static ObjectNode request(long echo, long answeredAgo, long up) {
    return Codec.map()
        .put("node", "n2")
        .put("echo", echo)
        .put("answered_ago", answeredAgo)
        .put("up", up);
  }

  @Test
  void aNodeThatWasNotHeardMayAnswerForAsLongAsAnEarlierLeaderCanHaveDelegated() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * S);
    assertEquals(100 * S + WORKERS.maxDelegationMicros(), delegations.answeredUntil("b", 105 * S));
    assertEquals(Long.MIN_VALUE, delegations.answeredUntil("a", 105 * S), "no other node is there");
  }

  @Test
  void aNodeInContactAnswersNobody() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * S);
    long at = delegations.onRequest(request(-1, -1, 90 * S), 18 * S, 101 * S).path("at").asLong();
    delegations.onRequest(request(at, -1, 91 * S), 18 * S, 102 * S);
    assertTrue(delegations.answeredUntil("b", 103 * S) < 100 * S, "it never stood in");
    assertEquals(120 * S, delegations.answeredUntil("b", 110 * S), "out of contact since");
  }

  /** Guards against an asking that a cut held back: it says nothing of the time since. */
  @Test
  void anAskingThatWasHeldUpProvesNothing() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * S);
    long at = delegations.onRequest(request(-1, -1, 90 * S), 18 * S, 101 * S).path("at").asLong();
    delegations.onRequest(request(at, -1, 91 * S), 18 * S, 102 * S);
    delegations.onRequest(request(at, -1, 91 * S), 18 * S, 130 * S);
    assertEquals(148 * S, delegations.answeredUntil("b", 131 * S));
  }

  /**
   * Guards against a process that forgot, being started again, that it had renewed leases as a
   * delegate.
   */
  @Test
  void aRestartedNodeMayHaveAnsweredBefore() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * S);
    long at = delegations.onRequest(request(-1, -1, S), 0, 110 * S).path("at").asLong();
    delegations.onRequest(request(at, -1, 2 * S), 0, 111 * S);
    long until = delegations.answeredUntil("b", 112 * S);
    assertTrue(until >= 109 * S && until < 110 * S, "until its start: " + until);
  }
}
