package org.dewreach.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.peer.DelegationRequest;
import org.junit.jupiter.api.Test;

/** Tests until when a leader assumes that delegates may have renewed leases. */
class LeaseDelegationsTest {
  private static final long S = 1_000_000;

  /**
   * A cancellation may take 30 s and a lease lasts 10 s, so 20 s less drift and the margin can be
   * delegated.
   */
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
    assertEquals(
        Long.MIN_VALUE, delegations.renewedUntil("a", 105 * S), "no other controller in this zone");
  }

  @Test
  void aControllerInContactRenewsNoLease() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * S);
    long mark = delegations.onRequest(request(-1, -1, 90 * S), 18 * S, 101 * S).timestampMicros();
    delegations.onRequest(request(mark, -1, 91 * S), 18 * S, 102 * S);
    assertTrue(
        delegations.renewedUntil("b", 103 * S) < 100 * S, "the controller never renewed a lease");
    assertEquals(120 * S, delegations.renewedUntil("b", 110 * S), "out of contact since 101 s");
  }

  /**
   * Guards against a request that a network partition delayed: it proves no contact after its mark.
   */
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
   * Guards against a controller whose restart lost the record of leases that it had renewed as a
   * delegate.
   */
  @Test
  void aRestartedControllerMayHaveRenewedBefore() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * S);
    long mark = delegations.onRequest(request(-1, -1, S), 0, 110 * S).timestampMicros();
    delegations.onRequest(request(mark, -1, 2 * S), 0, 111 * S);
    long until = delegations.renewedUntil("b", 112 * S);
    assertTrue(until >= 109 * S && until < 110 * S, "until the start of the process: " + until);
  }
}
