package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedSite.S;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.compatibility.ControllerUnderTest.Answered;
import org.dewreach.compatibility.ControllerUnderTest.Sent;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What controllers send each other, and /stats, which is served at the same address. */
class PeerApiCompatibilityTest {
  private static final String FILE = "peer-api.json";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static ObjectNode given(String name) {
    return Fixtures.tree(FILE, name);
  }

  private static void check(String name, Answered answer) {
    Fixtures.check(FILE, name, message(answer));
  }

  private static void check(String name, Sent sent) {
    assertEquals("member n1", sent.to());
    Fixtures.check(FILE, name, message(sent));
  }

  /** A request of another controller whose body is the fixture of the name. */
  private static Answered ask(ScriptedSite site, String path, String name) {
    return site.askAsPeer("POST", path, given(name));
  }

  /** Lets the other controller answer requests at the path. */
  private static void peerAnswers(ScriptedSite site, String path, String name) {
    site.peers = call -> call.path().equals(path) ? new Reply(200, given(name)) : null;
  }

  @Test
  void aLeaderAnswers() {
    ScriptedSite site = ScriptedSite.leading();
    check("leader query, leading", site.askAsPeer("GET", "/peer/leader", null));
    check("grant by a leader", ask(site, "/peer/promise", "grant request"));
    check("delegation by a leader", ask(site, "/peer/stand-in", "delegation request"));
    check(
        "delegation to a stranger", ask(site, "/peer/stand-in", "delegation to a stranger asked"));
    check("forwarded submission", ask(site, "/peer/user", "forwarded submission asked"));
    check("forwarded query", ask(site, "/peer/user", "forwarded query asked"));
    check("forwarded cancellation", ask(site, "/peer/user", "forwarded cancellation asked"));
    check("forwarded query, unknown", ask(site, "/peer/user", "forwarded unknown asked"));
    check("forwarded and malformed", ask(site, "/peer/user", "forwarded malformed asked"));
  }

  @Test
  void aFollowerAnswers() {
    ScriptedSite site = ScriptedSite.following();
    site.run(2 * S);
    check("leader query, following", site.askAsPeer("GET", "/peer/leader", null));
    check("grant", ask(site, "/peer/promise", "grant request"));
    check("grant to an earlier term", ask(site, "/peer/promise", "earlier grant request"));
    check("delegation by a follower", ask(site, "/peer/stand-in", "delegation request"));
    check("forwarded to a follower", ask(site, "/peer/user", "forwarded query asked"));
    check("unknown path", site.askAsPeer("GET", "/peer/other", null));
    check("no body", site.askAsPeer("POST", "/peer/promise", null));
  }

  @Test
  void aFollowerForwardsUsersRequests() {
    ScriptedSite site = ScriptedSite.following();
    peerAnswers(site, "/peer/user", "forwarded answer");
    Answered accepted = site.submit(job("sweep"));
    check("submission to the leader", site.last("POST /peer/user"));
    check("answer to the user", accepted);
    site.query("req-5001");
    check("query to the leader", site.last("POST /peer/user"));
    site.cancel("req-5001");
    check("cancellation to the leader", site.last("POST /peer/user"));
  }

  @Test
  void answersOfTheLeaderThatAreNone() {
    ScriptedSite site = ScriptedSite.following();
    peerAnswers(site, "/peer/user", "answer with a pause");
    check("answer with a pause to the user", site.query("req-5001"));
    peerAnswers(site, "/peer/user", "busy answer");
    check("the leader is busy", site.query("req-5001"));
    peerAnswers(site, "/peer/user", "not leading answer");
    check("answered without the leader", site.query("req-5001"));
    peerAnswers(site, "/peer/user", "later answer");
    site.run(4 * S);
    check("answered without the leader", site.query("req-5001"));
  }

  @Test
  void aFollowerAsksForADelegation() {
    ScriptedSite site = ScriptedSite.following();
    peerAnswers(site, "/peer/stand-in", "delegation");
    check("delegation asked", site.last("POST /peer/stand-in"));
    site.run(2 * S);
    check("delegation asked with an echo", site.last("POST /peer/stand-in"));
  }

  @Test
  void aNodeWithoutTheKeyValueStoreAsksWhoLeads() {
    ScriptedSite site = new ScriptedSite();
    site.state.instead = call -> new Reply(503, null);
    peerAnswers(site, "/peer/leader", "leader answer");
    site.run(3 * S);
    check("leader query", site.last("GET /peer/leader"));
    assertEquals("n1", site.ask("POST", "/hello", report()).body().get("steward").textValue());
  }

  private static JsonNode report() {
    return Fixtures.tree("worker-api.json", "heartbeat");
  }

  /** Grants of every node let a leader act while its lease cannot be renewed. */
  @ParameterizedTest
  @ValueSource(strings = {"grant answer", "refused grant answer"})
  void aLeaderAsksForGrants(String answer) {
    ScriptedSite site = ScriptedSite.leading();
    peerAnswers(site, "/peer/promise", answer);
    site.state.instead = call -> new Reply(503, null);
    site.run(5 * S);
    check("grant asked", site.last("POST /peer/promise"));
    int expected = given(answer).get("given").booleanValue() ? 200 : 503;
    assertEquals(expected, site.ask("POST", "/hello", report().deepCopy()).status());
  }

  @Test
  void theNumbersForOperators() {
    ScriptedSite follower = ScriptedSite.following();
    check("stats of a follower", follower.askAsPeer("GET", "/stats", null));
    ScriptedSite leader = ScriptedSite.leading();
    leader.submit(job("sweep"));
    leader.runWith(leader.worker("vm-000001", "10.1.0.1:9000", "a"), 4 * S);
    leader.query("req-5001");
    check("stats of a leader", leader.askAsPeer("GET", "/stats", null));
    Answered elsewhere = leader.ask("GET", "/stats", null);
    assertEquals(404, elsewhere.status(), "not at the public address");
    assertNull(elsewhere.body());
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
  void theEncodedForm(String name) {
    byte[] encoded = Fixtures.hex("peer-api-hex.json", name);
    assertEquals(given(name), ControllerUnderTest.readMessagePack(encoded));
    assertArrayEquals(encoded, ControllerUnderTest.writeMessagePack(given(name)));
  }
}
