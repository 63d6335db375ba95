package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedSite.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.compatibility.ControllerUnderTest.Sent;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;
import org.junit.jupiter.api.Test;

/** Requests to the key-value store, and what follows from its answers. */
class KeyValueStoreCompatibilityTest {
  private static final String FILE = "state-service.json";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static void check(String name, Sent sent) {
    assertEquals("state", sent.to());
    Fixtures.check(FILE, name, message(sent));
  }

  private static ObjectNode stats(ScriptedSite site) {
    return (ObjectNode) site.askAsPeer("GET", "/stats", null).body();
  }

  private static long count(ScriptedSite site, String methodAndPath) {
    return site.sent.stream()
        .filter(call -> (call.method() + " " + call.path()).startsWith(methodAndPath))
        .count();
  }

  @Test
  void theClaimOfTheLeaderKeyAndItsLease() {
    ScriptedSite site = ScriptedSite.leading();
    check("read of the leader key", site.last("GET /keys/dw/leader"));
    check("lease", site.last("POST /holds", call -> call.path().equals("/holds")));
    check("claim", site.transaction("dw/leader"));
    check("renewal", site.last("POST /holds/"));
    assertEquals(401, stats(site).get("term").intValue(), "the revision of the claim");
  }

  @Test
  void whatALeaderReads() {
    ScriptedSite site = ScriptedSite.leading();
    check("read of the catalog", site.last("GET /keys/dw/catalog"));
    check("list of machines", site.last("GET /keys?under=dw/machines/"));
    check("list of jobs", site.last("GET /keys?under=dw/job/"));
    check("list of new jobs", site.last("GET /keys?under=dw/new/"));
    check("list of final states", site.last("GET /keys?under=dw/over/"));
    check("watch of new jobs", site.last("GET /changes?under=dw/new/"));
    check("watch of final states", site.last("GET /changes?under=dw/over/"));
  }

  @Test
  void whatALeaderWrites() {
    ScriptedSite site = ScriptedSite.leading();
    check("catalog", site.transaction("dw/catalog"));
    site.submit(job("sweep"));
    check("job accepted", site.transaction("dw/job/req-5001"));
    ScriptedWorker worker = site.worker("vm-000001", "10.1.0.1:9000", "a");
    site.runWith(worker, 3 * S);
    check("machine marked", site.transaction("dw/machines/0"));
    worker.all("exited", "done");
    site.report(worker);
    site.run(S);
    check("job over", site.transaction("dw/over/req-5001"));
    site.submit(job("saving"));
    site.cancel("req-5002");
    check("job cancelled", site.transaction("dw/job/req-5002"));
  }

  @Test
  void whatANodeWithoutALeaderWrites() {
    ScriptedSite site = ScriptedSite.following();
    check("watch of the leader key", site.last("GET /changes?under=dw/leader"));
    site.peers = call -> new Reply(503, null);
    site.submit(job("sweep"));
    check("job kept without a leader", site.transaction("dw/new/req-5001"));
    site.cancel("req-5001");
    check("job cancelled without a leader", site.transaction("dw/new/req-5001"));
  }

  /** A read that goes over several pages continues after the last key. */
  @Test
  void listsOfSeveralPages() {
    ScriptedSite site = new ScriptedSite();
    site.state.pageSize = 1;
    ObjectNode over = Fixtures.tree("stored-records.json", "loaded over done");
    site.state.put("dw/over/req-1", over, 0);
    site.state.put("dw/over/req-2", over, 0);
    site.state.put("dw/job/req-5001", Fixtures.tree("stored-records.json", "loaded half done"), 0);
    site.state.put("dw/job/req-5003", Fixtures.tree("stored-records.json", "loaded new"), 0);
    site.run(4 * S);
    check("second page of final states", site.last("GET /keys?under=dw/over/"));
    check("second page of jobs", site.last("GET /keys?under=dw/job/"));
    assertEquals(2, stats(site).get("final_states").intValue());
    assertEquals(2, stats(site).get("fleet").get("jobs").intValue());
  }

  @Test
  void changesThatAWatchTellsOf() {
    ScriptedSite site = ScriptedSite.leading();
    site.state.put("dw/new/req-5003", Fixtures.tree("stored-records.json", "loaded new"), 0);
    site.state.put("dw/over/req-1", Fixtures.tree("stored-records.json", "loaded over done"), 0);
    site.run(S);
    assertEquals(1, stats(site).get("final_states").intValue());
    assertTrue(site.state.data("dw/job/req-5003") != null, "taken over");
  }

  @Test
  void aWatchOfChangesThatAreNotKeptAnyMore() {
    ScriptedSite site = ScriptedSite.following();
    site.run(9 * S);
    site.state.instead =
        call -> call.path().endsWith("&after=402&hold_ms=10000") ? new Reply(410, null) : null;
    site.state.put("dw/other", Fixtures.json("{}"), 0);
    long before = count(site, "GET /keys?under=dw/over/");
    site.run(3 * S);
    assertEquals(before + 1, count(site, "GET /keys?under=dw/over/"), "listed anew");
    assertEquals(403, stats(site).get("final_states_revision").intValue());
  }

  @Test
  void aLeaderKeyThatIsRemovedIsClaimed() {
    ScriptedSite site = ScriptedSite.following();
    assertEquals("n1", stats(site).get("leader").textValue());
    site.state.remove("dw/leader");
    site.run(S);
    assertEquals("LEADING", stats(site).get("election").textValue());
  }

  @Test
  void aClaimThatComesSecond() {
    ScriptedSite site = new ScriptedSite();
    JsonNode other = Fixtures.tree("stored-records.json", "leader n1");
    site.state.instead =
        call -> {
          if (call.path().equals("/commit") && site.state.data("dw/leader") == null) {
            site.state.put("dw/leader", other, 5);
          }
          return null;
        };
    site.run(S);
    assertEquals("n1", stats(site).get("leader").textValue());
    check("lease of a claim given up", site.last("DELETE /holds/"));
  }

  /** The claim's response is lost: the key is read, and found to be its own by name and process. */
  @Test
  void aClaimWhoseResponseIsLost() {
    ScriptedSite site = new ScriptedSite();
    site.state.instead =
        call -> {
          if (!call.path().equals("/commit") || site.state.data("dw/leader") != null) {
            return null;
          }
          site.state.put("dw/leader", call.body().at("/then/0/data"), 7);
          return new Reply(0, null);
        };
    site.run(S);
    assertEquals("LEADING", stats(site).get("election").textValue());
    assertEquals(1, count(site, "POST /commit"));
    assertEquals(0, count(site, "DELETE /holds/"));
  }

  /** A leader key of an earlier process of the same node: its lease is ended. */
  @Test
  void aLeaderKeyOfAnEarlierProcess() {
    ScriptedSite site = new ScriptedSite();
    site.state.put("dw/leader", Fixtures.json("{\"name\": \"n0\", \"boot\": \"boot-0\"}"), 33);
    site.run(4 * S);
    check("lease of an earlier process", site.last("DELETE /holds/"));
    assertEquals("LEADING", stats(site).get("election").textValue());
  }

  @Test
  void aLeaseThatHasEnded() {
    ScriptedSite site = ScriptedSite.leading();
    site.state.put("dw/leader", Fixtures.tree("stored-records.json", "leader n1"), 5);
    site.state.instead =
        call -> call.path().endsWith("/extend") ? new Reply(404, Fixtures.json("{}")) : null;
    site.run(S);
    assertEquals("FOLLOWING", stats(site).get("election").textValue());
  }

  @Test
  void aTransactionThatShowsTheLeaderKeyLost() {
    ScriptedSite site = ScriptedSite.leading();
    site.state.put("dw/leader", Fixtures.tree("stored-records.json", "leader n1"), 5);
    assertEquals(503, site.submit(job("sweep")).status());
    site.run(S);
    assertEquals("FOLLOWING", stats(site).get("election").textValue());
  }

  @Test
  void aTransactionThatShowsTheJobKnown() {
    ScriptedSite site = ScriptedSite.leading();
    site.state.put("dw/over/req-5001", Fixtures.tree("stored-records.json", "loaded over done"), 0);
    assertEquals("done", site.submit(job("sweep")).body().get("standing").textValue());
  }

  /** A transaction without a response is sent again unchanged, and found applied by its mark. */
  @Test
  void aTransactionWhoseResponseIsLost() {
    ScriptedSite site = ScriptedSite.leading();
    boolean[] lost = new boolean[1];
    site.state.instead =
        call -> {
          if (!call.path().equals("/commit") || lost[0]) {
            return null;
          }
          lost[0] = true;
          site.state.reply(call, 0, 0);
          return new Reply(0, null);
        };
    assertEquals(201, site.submit(job("sweep")).status());
    check("read of the mark", site.last("GET /keys/dw/job/"));
  }
}
