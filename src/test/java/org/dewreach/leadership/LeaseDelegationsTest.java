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
  private static final long SECOND = 1_000_000;

  /**
   * A cancellation may take 30 s and a lease lasts 10 s, so 20 s less drift and the margin can be
   * delegated.
   */
  private static final Settings.WorkerSettings WORKERS =
      new Settings.WorkerSettings(SECOND, 10 * SECOND, 30 * SECOND);

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

  private static DelegationRequest request(long timestamp, long sinceRenewal, long uptime) {
    return new DelegationRequest("n2", uptime, sinceRenewal, timestamp);
  }

  @Test
  void aControllerWithoutProvenContactMayRenewForTheLongestEarlierDelegation() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * SECOND);
    assertEquals(
        100 * SECOND + WORKERS.maxDelegationMicros(), delegations.renewedUntil("b", 105 * SECOND));
    assertEquals(
        Long.MIN_VALUE,
        delegations.renewedUntil("a", 105 * SECOND),
        "no other controller in this zone");
  }

  @Test
  void aControllerInContactRenewsNoLease() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * SECOND);
    long timestamp =
        delegations
            .onRequest(request(-1, -1, 90 * SECOND), 18 * SECOND, 101 * SECOND)
            .timestampMicros();
    delegations.onRequest(request(timestamp, -1, 91 * SECOND), 18 * SECOND, 102 * SECOND);
    assertTrue(
        delegations.renewedUntil("b", 103 * SECOND) < 100 * SECOND,
        "the controller never renewed a lease");
    assertEquals(
        120 * SECOND, delegations.renewedUntil("b", 110 * SECOND), "out of contact since 101 s");
  }

  /**
   * Guards against a request that a network partition delayed: it proves no contact after the
   * timestamp that it echoes.
   */
  @Test
  void aDelayedRequestProvesNoContact() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * SECOND);
    long timestamp =
        delegations
            .onRequest(request(-1, -1, 90 * SECOND), 18 * SECOND, 101 * SECOND)
            .timestampMicros();
    delegations.onRequest(request(timestamp, -1, 91 * SECOND), 18 * SECOND, 102 * SECOND);
    delegations.onRequest(request(timestamp, -1, 91 * SECOND), 18 * SECOND, 130 * SECOND);
    assertEquals(148 * SECOND, delegations.renewedUntil("b", 131 * SECOND));
  }

  /**
   * Guards against relying on a controller whose restart lost the record of leases that it had
   * renewed as a delegate.
   */
  @Test
  void aRestartedControllerMayHaveRenewedBefore() {
    LeaseDelegations delegations = new LeaseDelegations(7, settings(), () -> Long.MIN_VALUE);
    delegations.onAuthorityGained(100 * SECOND);
    long timestamp =
        delegations.onRequest(request(-1, -1, SECOND), 0, 110 * SECOND).timestampMicros();
    delegations.onRequest(request(timestamp, -1, 2 * SECOND), 0, 111 * SECOND);
    long until = delegations.renewedUntil("b", 112 * SECOND);
    assertTrue(
        until >= 109 * SECOND && until < 110 * SECOND, "until the start of the process: " + until);
  }
}
