package org.dewreach.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.dewreach.cloud.CloudClient;
import org.dewreach.config.Settings;
import org.dewreach.controller.SettingsFixture;
import org.dewreach.history.FinalStates;
import org.dewreach.peer.ForwardedReply;
import org.dewreach.peer.ForwardedRequest;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.state.MachineTypeCatalog;
import org.dewreach.store.KeyValueStore;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobState;
import org.dewreach.wire.JobStatus;
import org.dewreach.wire.JobSubmission;
import org.dewreach.wire.UserResponse;
import org.dewreach.wire.UserResponseCodec;
import org.junit.jupiter.api.Test;

/** Tests how a follower handles the leader's replies to forwarded requests. */
class LeaderForwarderTest {
  private static final long SECOND = 1_000_000;
  private static final Settings SETTINGS = SettingsFixture.oneController();
  private static final UserRequest QUERY = new UserRequest.Query("req-1");
  private static final UserRequest CANCEL = new UserRequest.Cancel("req-1");
  private static final UserRequest SUBMIT =
      new UserRequest.Submit("req-1", new JobSubmission(Codec.map().put("uid", "req-1")));
  private static final ForwardedRequest MESSAGE = new ForwardedRequest("GET", "/work/req-1", null);

  private final Outbox outbox = new Outbox();
  private final KeyValueStore store = new KeyValueStore(outbox);
  private final MachineTypeCatalog catalog =
      new MachineTypeCatalog(store, new CloudClient(outbox, 100));
  private final LeaderForwarder forwarder =
      new LeaderForwarder(
          outbox,
          new LeaderlessRequestHandler(
              store, new FinalStates(), catalog, SETTINGS, "boot", () -> SECOND, 0));
  private final List<UserResponse> responses = new ArrayList<>();

  /** Forwards a request and returns the call to the leader. */
  private Effect.Call forward(UserRequest request, long nowMicros) {
    forwarder.forward("n2", MESSAGE, request, responses::add, nowMicros);
    Effect.Call call = (Effect.Call) outbox.drain().get(0);
    assertEquals(new Target.Member("n2"), call.target());
    return call;
  }

  private void reply(Effect.Call call, int status, JsonNode body, long nowMicros) {
    outbox.reply(nowMicros, new Event.Reply(call.callId(), status, body));
  }

  private void reply(Effect.Call call, ForwardedReply reply, long nowMicros) {
    reply(call, 200, PeerMessageCodec.encode(reply), nowMicros);
  }

  /**
   * True if the request was passed to the leaderless handler, which reads the job from the
   * key-value store.
   */
  private boolean servedWithoutLeader() {
    List<Effect> effects = outbox.drain();
    return effects.size() == 1
        && effects.get(0) instanceof Effect.Call call
        && call.target() == Target.STATE;
  }

  @Test
  void leaderResponseIsRelayedToUser() {
    JobStatus jobStatus = JobStatus.withCounts("req-1", JobState.RUNNING, 1, 2);
    UserResponse response = UserResponse.ok(jobStatus);
    reply(forward(QUERY, SECOND), new ForwardedReply.Handled(response), SECOND);
    assertEquals(1, responses.size());
    assertEquals(200, responses.get(0).status());
    assertEquals(
        UserResponseCodec.encode(jobStatus), UserResponseCodec.encode(responses.get(0).body()));
    assertFalse(forwarder.suspectsLeader(SECOND));
  }

  @Test
  void userOfBusyLeaderReceivesRetryResponse() {
    reply(forward(QUERY, SECOND), new ForwardedReply.Busy(), SECOND);
    assertEquals(List.of(UserResponse.unavailable(ConcurrencyLimiter.BUSY_RETRY_S)), responses);
    assertFalse(forwarder.isForwardingPausedFor(QUERY, SECOND));
  }

  @Test
  void notLeadingReplyPausesForwardingAndMakesLeaderSuspect() {
    reply(forward(QUERY, SECOND), new ForwardedReply.NotLeading(), SECOND);
    assertTrue(servedWithoutLeader());
    assertTrue(forwarder.isForwardingPausedFor(QUERY, SECOND));
    assertTrue(forwarder.isForwardingPausedFor(SUBMIT, SECOND));
    assertFalse(
        forwarder.isForwardingPausedFor(CANCEL, SECOND),
        "only the leader can cancel a running job");
    assertTrue(forwarder.suspectsLeader(SECOND));
    assertFalse(forwarder.isForwardingPausedFor(QUERY, SECOND + SECOND / 2));
    assertTrue(forwarder.suspectsLeader(3 * SECOND));
    assertFalse(forwarder.suspectsLeader(4 * SECOND));
  }

  @Test
  void missingReplyPausesForwardingAndMakesLeaderSuspect() {
    reply(forward(QUERY, SECOND), 0, null, SECOND);
    assertTrue(servedWithoutLeader());
    assertTrue(forwarder.isForwardingPausedFor(QUERY, SECOND));
    assertTrue(forwarder.suspectsLeader(SECOND));
  }

  /**
   * Guards against queries that fail for a while because the leader could not answer one of them.
   */
  @Test
  void forwardingContinuesAfterOneUnavailableResponse() {
    reply(forward(QUERY, SECOND), new ForwardedReply.Handled(UserResponse.unavailable(1)), SECOND);
    assertTrue(servedWithoutLeader());
    assertFalse(forwarder.isForwardingPausedFor(QUERY, SECOND));
    assertFalse(forwarder.suspectsLeader(SECOND));
  }

  @Test
  void submissionTimeoutIsShorterForSilentLeader() {
    long aliveMicros = forward(SUBMIT, SECOND).timeoutMicros();
    long silentMicros = forward(SUBMIT, 2 * SECOND).timeoutMicros();
    assertTrue(silentMicros < aliveMicros, silentMicros + " and " + aliveMicros);
    reply(forward(QUERY, 2 * SECOND), new ForwardedReply.Busy(), 2 * SECOND);
    assertEquals(
        aliveMicros, forward(SUBMIT, 2 * SECOND).timeoutMicros(), "the leader has replied");
    assertTrue(
        forward(QUERY, 9 * SECOND).timeoutMicros() > aliveMicros,
        "the timeout of queries does not depend on the leader's replies");
  }
}
