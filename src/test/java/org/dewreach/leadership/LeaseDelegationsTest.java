package org.dewreach.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.peer.DelegationRequest;
import org.junit.jupiter.api.Test;

/** Until when a leader reckons with what delegates may have answered. */
class LeaseDelegationsTest {
  private static final long S = 1_000_000;

  /** A cancellation has 30 s, a lease 10 s: 20 s less drift and the margin can be delegated. */
  private static final Settings.WorkerSettings WORKERS =
      new Settings.WorkerSettings(S, 10 * S, 30 * S);

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

  private static DelegationRequest request(long mark, long sinceRenewal, long uptime) {
    return new DelegationRequest("n2", uptime, sinceRenewal, mark);
  }

  @Test
  void aControllerWithoutProvenContactMayRenewForTheLongestEarlierDelegation() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * S);
    assertEquals(100 * S + WORKERS.maxDelegationMicros(), delegations.renewedUntil("b", 105 * S));
    assertEquals(Long.MIN_VALUE, delegations.renewedUntil("a", 105 * S), "no other node is there");
  }

  @Test
  void aControllerInContactRenewsNoLease() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * S);
    long mark = delegations.onRequest(request(-1, -1, 90 * S), 18 * S, 101 * S).timestampMicros();
    delegations.onRequest(request(mark, -1, 91 * S), 18 * S, 102 * S);
    assertTrue(delegations.renewedUntil("b", 103 * S) < 100 * S, "it never renewed a lease");
    assertEquals(120 * S, delegations.renewedUntil("b", 110 * S), "out of contact since");
  }

  /** Guards against a request that a partition held back: it says nothing of the time since. */
  @Test
  void aDelayedRequestProvesNoContact() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * S);
    long mark = delegations.onRequest(request(-1, -1, 90 * S), 18 * S, 101 * S).timestampMicros();
    delegations.onRequest(request(mark, -1, 91 * S), 18 * S, 102 * S);
    delegations.onRequest(request(mark, -1, 91 * S), 18 * S, 130 * S);
    assertEquals(148 * S, delegations.renewedUntil("b", 131 * S));
  }

  /**
   * Guards against a process that forgot, being started again, that it had renewed leases as a
   * delegate.
   */
  @Test
  void aRestartedControllerMayHaveRenewedBefore() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * S);
    long mark = delegations.onRequest(request(-1, -1, S), 0, 110 * S).timestampMicros();
    delegations.onRequest(request(mark, -1, 2 * S), 0, 111 * S);
    long until = delegations.renewedUntil("b", 112 * S);
    assertTrue(until >= 109 * S && until < 110 * S, "until its start: " + until);
  }
}
