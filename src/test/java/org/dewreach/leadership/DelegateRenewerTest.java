package org.dewreach.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.peer.DelegationResponse;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.store.KeyValueStore;
import org.dewreach.wire.Codec;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.HeartbeatResponse;
import org.dewreach.wire.MalformedException;
import org.junit.jupiter.api.Test;

/** Tests when a controller renews worker leases in place of the leader. */
class DelegateRenewerTest {
  private static final long SECOND = 1_000_000;
  private final Outbox outbox = new Outbox();
  private final DelegateRenewer delegateRenewer =
      new DelegateRenewer(outbox, new KeyValueStore(outbox), settings());

  private static Settings settings() {
    Settings.Address any = new Settings.Address("127.0.0.1", 1);
    return new Settings(
        "n2",
        "b",
        any,
        any,
        List.of(new Settings.Member("n0", "a", any), new Settings.Member("n1", "a", any)),
        any,
        any,
        List.of("a", "b"),
        0,
        Map.of(),
        List.of(),
        new Settings.WorkerSettings(4 * SECOND, 22 * SECOND, 42 * SECOND),
        null,
        null,
        null);
  }

  private static Heartbeat heartbeat(String machine, String zone) throws MalformedException {
    var body = Codec.map().put("host", machine).put("address", "x").put("build", "box");
    body.put("site", zone).put("loaners", false).put("tenure", 1).put("tally", 1).put("warrant", 7);
    body.putArray("pieces");
    return Heartbeat.parse(body);
  }

  /** Sends a delegation request to the leader; its response, if any, arrives at once. */
  private void requestDelegation(long atMicros, boolean responds) {
    delegateRenewer.tick("n0", atMicros);
    for (Effect effect : outbox.drain()) {
      if (effect instanceof Effect.Call call
          && call.path().equals(PeerMessageCodec.DELEGATION_PATH)) {
        var response = PeerMessageCodec.encode(new DelegationResponse(7, 30 * SECOND, atMicros));
        outbox.reply(atMicros, new Event.Reply(call.callId(), responds ? 200 : 0, response));
      }
    }
  }

  @Test
  void renewsLeasesOfItsOwnZoneOnlyAndOnlyWhileDelegated() throws MalformedException {
    requestDelegation(100 * SECOND, true);
    assertFalse(
        delegateRenewer.tryRenew(heartbeat("m1", "b"), 102 * SECOND),
        "the leader responded 2 s ago");
    assertFalse(delegateRenewer.tryRenew(heartbeat("m1", "a"), 104 * SECOND), "another zone");
    assertTrue(delegateRenewer.tryRenew(heartbeat("m1", "b"), 104 * SECOND));
    assertEquals(HeartbeatResponse.withoutCommands(7), delegateRenewer.heartbeatResponse());
    assertTrue(delegateRenewer.tryRenew(heartbeat("m1", "b"), 129 * SECOND));
    assertFalse(
        delegateRenewer.tryRenew(heartbeat("m1", "b"), 130 * SECOND),
        "counted from the request, less clock drift");
  }

  @Test
  void aLaterTermEndsTheDelegation() throws MalformedException {
    requestDelegation(100 * SECOND, true);
    delegateRenewer.onTermKnown(8);
    assertFalse(delegateRenewer.tryRenew(heartbeat("m1", "b"), 104 * SECOND));
  }

  @Test
  void aControllerThatReachesTheKeyValueStoreRenewsNoLease() throws MalformedException {
    requestDelegation(100 * SECOND, true);
    delegateRenewer.tick("n0", 102 * SECOND);
    for (Effect effect : outbox.drain()) {
      if (effect instanceof Effect.Call call && call.path().startsWith("/keys/")) {
        outbox.reply(102 * SECOND, new Event.Reply(call.callId(), 404, null));
      }
    }
    assertFalse(delegateRenewer.tryRenew(heartbeat("m1", "b"), 104 * SECOND));
  }

  /**
   * Guards against workers that are redirected twice and return only after their lease has expired.
   */
  @Test
  void aWorkerThatFollowedTheFormerLeaderIsRedirectedOnce() throws MalformedException {
    delegateRenewer.onLeading(7, 30 * SECOND, 100 * SECOND);
    assertFalse(
        delegateRenewer.tryRenew(heartbeat("m1", "b"), 101 * SECOND),
        "the worker is redirected once, which is recorded");
    assertTrue(
        delegateRenewer.tryRenew(heartbeat("m1", "b"), 112 * SECOND),
        "the worker has tried the other controllers");
    assertFalse(
        delegateRenewer.tryRenew(heartbeat("m2", "b"), 112 * SECOND),
        "worker m2 has not tried another controller yet");
  }
}
