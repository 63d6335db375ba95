package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedEnvironment.SECOND;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.compatibility.ControllerUnderTest.SentCall;
import org.dewreach.compatibility.ControllerUnderTest.SentResponse;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the messages between controllers, and /stats, which is served at the same address. */
class PeerApiCompatibilityTest {
  private static final String FILE = "peer-api.json";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static ObjectNode fixture(String name) {
    return Fixtures.tree(FILE, name);
  }

  private static void check(String name, SentResponse response) {
    Fixtures.check(FILE, name, message(response));
  }

  private static void check(String name, SentCall sent) {
    assertEquals("member n1", sent.target());
    Fixtures.check(FILE, name, message(sent));
  }

  /** Sends a request of another controller, with the given fixture as its body. */
  private static SentResponse requestWith(
      ScriptedEnvironment environment, String path, String name) {
    return environment.requestAsPeer("POST", path, fixture(name));
  }

  /** Sets the response of the other controller to requests at the path. */
  private static void setPeerReply(ScriptedEnvironment environment, String path, String name) {
    environment.peerReplies =
        call -> call.path().equals(path) ? new Reply(200, fixture(name)) : null;
  }

  @Test
  void responsesOfLeader() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    check("leader query, leading", environment.requestAsPeer("GET", "/peer/leader", null));
    check("readiness, leading", environment.requestAsPeer("GET", "/peer/readiness", null));
    check("grant by a leader", requestWith(environment, "/peer/promise", "grant request"));
    check(
        "delegation by a leader", requestWith(environment, "/peer/stand-in", "delegation request"));
    check(
        "delegation to a stranger",
        requestWith(environment, "/peer/stand-in", "delegation to a stranger asked"));
    check(
        "forwarded submission",
        requestWith(environment, "/peer/user", "forwarded submission asked"));
    check("forwarded query", requestWith(environment, "/peer/user", "forwarded query asked"));
    check(
        "forwarded cancellation",
        requestWith(environment, "/peer/user", "forwarded cancellation asked"));
    check(
        "forwarded query, unknown",
        requestWith(environment, "/peer/user", "forwarded unknown asked"));
    check(
        "forwarded and malformed",
        requestWith(environment, "/peer/user", "forwarded malformed asked"));
  }

  @Test
  void responsesOfFollower() {
    ScriptedEnvironment environment = ScriptedEnvironment.following();
    environment.run(2 * SECOND);
    check("leader query, following", environment.requestAsPeer("GET", "/peer/leader", null));
    check("readiness, following", environment.requestAsPeer("GET", "/peer/readiness", null));
    check("grant", requestWith(environment, "/peer/promise", "grant request"));
    check(
        "grant to an earlier term",
        requestWith(environment, "/peer/promise", "earlier grant request"));
    check(
        "delegation by a follower",
        requestWith(environment, "/peer/stand-in", "delegation request"));
    check(
        "forwarded to a follower", requestWith(environment, "/peer/user", "forwarded query asked"));
    check("unknown path", environment.requestAsPeer("GET", "/peer/other", null));
    check("no body", environment.requestAsPeer("POST", "/peer/promise", null));
  }

  @Test
  void followerForwardsUserRequests() {
    ScriptedEnvironment environment = ScriptedEnvironment.following();
    setPeerReply(environment, "/peer/user", "forwarded answer");
    SentResponse accepted = environment.submit(job("sweep"));
    check("submission to the leader", environment.lastCall("POST /peer/user"));
    check("answer to the user", accepted);
    environment.query("req-5001");
    check("query to the leader", environment.lastCall("POST /peer/user"));
    environment.cancel("req-5001");
    check("cancellation to the leader", environment.lastCall("POST /peer/user"));
  }

  @Test
  void unusableLeaderResponsesToForwardedQuery() {
    ScriptedEnvironment environment = ScriptedEnvironment.following();
    setPeerReply(environment, "/peer/user", "answer with a pause");
    check("answer with a pause to the user", environment.query("req-5001"));
    setPeerReply(environment, "/peer/user", "busy answer");
    check("the leader is busy", environment.query("req-5001"));
    setPeerReply(environment, "/peer/user", "not leading answer");
    check("answered without the leader", environment.query("req-5001"));
    setPeerReply(environment, "/peer/user", "later answer");
    environment.run(4 * SECOND);
    check("answered without the leader", environment.query("req-5001"));
  }

  @Test
  void followerRequestsDelegation() {
    ScriptedEnvironment environment = ScriptedEnvironment.following();
    setPeerReply(environment, "/peer/stand-in", "delegation");
    check("delegation asked", environment.lastCall("POST /peer/stand-in"));
    environment.run(2 * SECOND);
    check("delegation asked with an echo", environment.lastCall("POST /peer/stand-in"));
  }

  @Test
  void controllerInStoreOutageQueriesPeersForLeader() {
    ScriptedEnvironment environment = new ScriptedEnvironment();
    environment.store.replyOverride = call -> new Reply(503, null);
    setPeerReply(environment, "/peer/leader", "leader answer");
    environment.run(3 * SECOND);
    check("leader query", environment.lastCall("GET /peer/leader"));
    check("readiness asked", environment.lastCall("GET /peer/readiness"));
    assertEquals(
        "n1", environment.request("POST", "/hello", heartbeat()).body().get("steward").textValue());
  }

  private static JsonNode heartbeat() {
    return Fixtures.tree("worker-api.json", "heartbeat");
  }

  /** Grants of all other controllers let a leader act while its lease cannot be renewed. */
  @ParameterizedTest
  @ValueSource(strings = {"grant answer", "refused grant answer"})
  void leaderInStoreOutageRequestsGrants(String response) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    setPeerReply(environment, "/peer/promise", response);
    environment.store.replyOverride = call -> new Reply(503, null);
    environment.run(5 * SECOND);
    check("grant asked", environment.lastCall("POST /peer/promise"));
    int expected = fixture(response).get("given").booleanValue() ? 200 : 503;
    assertEquals(expected, environment.request("POST", "/hello", heartbeat().deepCopy()).status());
  }

  @Test
  void statsOfFollowerAndLeader() {
    ScriptedEnvironment follower = ScriptedEnvironment.following();
    check("stats of a follower", follower.requestAsPeer("GET", "/stats", null));
    ScriptedEnvironment leader = ScriptedEnvironment.leading();
    leader.submit(job("sweep"));
    leader.runWithHeartbeats(leader.addWorker("vm-000001", "10.1.0.1:9000", "a"), 4 * SECOND);
    leader.query("req-5001");
    check("stats of a leader", leader.requestAsPeer("GET", "/stats", null));
    SentResponse atPublicAddress = leader.request("GET", "/stats", null);
    assertEquals(404, atPublicAddress.status(), "/stats at the public address");
    assertNull(atPublicAddress.body());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "delegation",
        "delegation request",
        "grant request",
        "grant answer",
        "leader answer",
        "forwarded submission asked",
        "forwarded query asked",
        "forwarded answer",
        "busy answer",
        "not leading answer"
      })
  void encodingIsUnchanged(String name) {
    byte[] encoded = Fixtures.hex("peer-api-hex.json", name);
    assertEquals(fixture(name), ControllerUnderTest.readMessagePack(encoded));
    assertArrayEquals(encoded, ControllerUnderTest.writeMessagePack(fixture(name)));
  }
}
