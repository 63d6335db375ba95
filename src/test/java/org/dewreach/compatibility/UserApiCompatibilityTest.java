package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedSite.S;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.compatibility.ControllerUnderTest.Answered;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Users' requests and the answers to them. */
class UserApiCompatibilityTest {
  private static final String FILE = "user-api.json";
  private static final String ARRAY = "req-5001";
  private static final String SAVING = "req-5002";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static void check(String name, Answered answer) {
    Fixtures.check(FILE, name, message(answer));
  }

  private static ScriptedWorker workerOf(ScriptedSite site) {
    return site.worker("vm-000001", "10.1.0.1:9000", "a");
  }

  @Test
  void aJobFromItsSubmissionToItsEnd() {
    ScriptedSite site = ScriptedSite.leading();
    check("accepted", site.submit(job("sweep")));
    check("repeated while pending", site.submit(job("sweep")));
    check("query pending", site.query(ARRAY));
    ScriptedWorker worker = workerOf(site);
    site.runWith(worker, 3 * S);
    check("repeated while running", site.submit(job("sweep")));
    check("query running", site.query(ARRAY));
    worker.becomes(ARRAY + "/1", "exited", "done");
    site.report(worker);
    check("query partly done", site.query(ARRAY));
    worker.all("exited", "done");
    site.report(worker);
    site.run(S);
    check("repeated when done", site.submit(job("sweep")));
    check("query done", site.query(ARRAY));
    check("cancel done", site.cancel(ARRAY));
  }

  @Test
  void aJobThatIsCancelled() {
    ScriptedSite site = ScriptedSite.leading();
    site.submit(job("saving"));
    check("cancel", site.cancel(SAVING));
    check("cancel repeated", site.cancel(SAVING));
    check("repeated when cancelled", site.submit(job("saving")));
    check("query cancelled", site.query(SAVING));
  }

  @Test
  void aJobThatNobodySubmitted() {
    ScriptedSite site = ScriptedSite.leading();
    check("query unknown", site.query("req-9999"));
    check("cancel unknown", site.cancel("req-9999"));
    check("query no id", site.query("job-1"));
    check("other path", site.ask("GET", "/other", null));
    check("other method", site.ask("DELETE", "/work/" + ARRAY, null));
  }

  @Test
  void submissionsThatAreRefused() {
    ScriptedSite site = ScriptedSite.leading();
    check("no body", site.submit(null));
    check("no id", site.submit(job("sweep").put("uid", "other")));
    check("unknown word", site.submit(job("sweep").put("shape", "heap")));
    check("unknown team", site.submit(job("sweep").put("desk", "green")));
    check("too large", site.submit(job("sweep").put("cpus", 9.0)));
    check("over the limit", site.submit(job("service").put("pieces", 25)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "lane",
        "desk",
        "shape",
        "urgency",
        "pieces",
        "cpus",
        "cards",
        "memory_gb",
        "bundle",
        "pull_gb",
        "together",
        "scatter",
        "loaners",
        "expected_s",
        "mark_every_s",
        "mark_cost_s"
      })
  void aFieldThatMustBeThere(String field) {
    ScriptedSite site = ScriptedSite.leading();
    ObjectNode job = job("sweep");
    job.remove(field);
    Answered answer = site.submit(job);
    assertEquals(400, answer.status());
    assertEquals(field, answer.body().get("error").textValue().split(":")[0]);
  }

  @ParameterizedTest
  @ValueSource(strings = {"builds", "site", "due_s"})
  void aFieldThatMayBeNullOrLeftOut(String field) {
    ScriptedSite site = ScriptedSite.leading();
    assertEquals(201, site.submit(job("sweep").put("uid", "req-1").putNull(field)).status());
    ObjectNode without = job("sweep").put("uid", "req-2");
    without.remove(field);
    assertEquals(201, site.submit(without).status());
    for (String id : List.of("req-1", "req-2")) {
      JsonNode stored = site.state.data("dw/job/" + id).get("job").get(field);
      assertEquals(true, stored.isNull(), id);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "shape,sweep",
    "shape,gang",
    "shape,service",
    "urgency,production",
    "urgency,high",
    "urgency,normal",
    "urgency,low"
  })
  void wordsThatAreKnown(String field, String word) {
    ScriptedSite site = ScriptedSite.leading();
    assertEquals(201, site.submit(job("saving").put(field, word)).status());
    JsonNode stored = site.state.data("dw/job/" + SAVING).get("job").get(field);
    assertEquals(word, stored.textValue());
  }

  @Test
  void withoutTheKeyValueStore() {
    ScriptedSite site = new ScriptedSite();
    site.state.instead = call -> new Reply(503, null);
    site.run(S);
    check("not ready", site.ask("GET", "/ready", null));
    check("query in an outage", site.query(ARRAY));
    check("cancel in an outage", site.cancel(ARRAY));
    check("submit in an outage", site.submit(job("sweep")));
  }

  @Test
  void withoutALeader() {
    ScriptedSite site = ScriptedSite.following();
    site.peers = call -> new Reply(503, null);
    check("ready", site.ask("GET", "/ready", null));
    check("accepted", site.submit(job("sweep")));
    check("repeated while pending", site.submit(job("sweep")));
    check("query pending", site.query(ARRAY));
    check("query unknown", site.query("req-9999"));
    check("cancel without a leader", site.cancel(ARRAY));
    check("query cancelled without a leader", site.query(ARRAY));
    check("refused without a reason", site.submit(job("saving").put("desk", "green")));
    check("malformed without a reason", site.submit(job("saving").put("urgency", "soon")));
  }

  @Test
  void whatOnlyALeaderCanCancel() {
    ScriptedSite site = ScriptedSite.following();
    site.peers = call -> new Reply(503, null);
    ObjectNode record = Fixtures.tree("stored-records.json", "loaded half done");
    site.state.put("dw/job/" + ARRAY, record, 0);
    check("query half done without a leader", site.query(ARRAY));
    check("cancel needs a leader", site.cancel(ARRAY));
  }
}
