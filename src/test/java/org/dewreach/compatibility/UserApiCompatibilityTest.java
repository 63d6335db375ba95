package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedEnvironment.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.compatibility.ControllerUnderTest.SentResponse;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the responses to user requests. */
class UserApiCompatibilityTest {
  private static final String FILE = "user-api.json";
  private static final String ARRAY_JOB_ID = "req-5001";
  private static final String CHECKPOINTING_JOB_ID = "req-5002";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static void check(String name, SentResponse response) {
    Fixtures.check(FILE, name, message(response));
  }

  private static ScriptedWorker addWorker(ScriptedEnvironment environment) {
    return environment.addWorker("vm-000001", "10.1.0.1:9000", "a");
  }

  @Test
  void jobFromSubmissionToCompletion() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    check("accepted", environment.submit(job("sweep")));
    check("repeated while pending", environment.submit(job("sweep")));
    check("query pending", environment.query(ARRAY_JOB_ID));
    ScriptedWorker worker = addWorker(environment);
    environment.runWithHeartbeats(worker, 3 * SECOND);
    check("repeated while running", environment.submit(job("sweep")));
    check("query running", environment.query(ARRAY_JOB_ID));
    worker.updateTask(ARRAY_JOB_ID + "/1", "exited", "done");
    environment.sendHeartbeat(worker);
    check("query partly done", environment.query(ARRAY_JOB_ID));
    worker.updateAllTasks("exited", "done");
    environment.sendHeartbeat(worker);
    environment.run(SECOND);
    check("repeated when done", environment.submit(job("sweep")));
    check("query done", environment.query(ARRAY_JOB_ID));
    check("cancel done", environment.cancel(ARRAY_JOB_ID));
  }

  @Test
  void cancelledJob() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    environment.submit(job("saving"));
    check("cancel", environment.cancel(CHECKPOINTING_JOB_ID));
    check("cancel repeated", environment.cancel(CHECKPOINTING_JOB_ID));
    check("repeated when cancelled", environment.submit(job("saving")));
    check("query cancelled", environment.query(CHECKPOINTING_JOB_ID));
  }

  @Test
  void unknownJobsAndPaths() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    check("query unknown", environment.query("req-9999"));
    check("cancel unknown", environment.cancel("req-9999"));
    check("query no id", environment.query("job-1"));
    check("other path", environment.request("GET", "/other", null));
    check("other method", environment.request("DELETE", "/work/" + ARRAY_JOB_ID, null));
  }

  @Test
  void rejectedSubmissions() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    check("no body", environment.submit(null));
    check("no id", environment.submit(job("sweep").put("uid", "other")));
    check("unknown word", environment.submit(job("sweep").put("shape", "heap")));
    check("unknown team", environment.submit(job("sweep").put("desk", "green")));
    check("too large", environment.submit(job("sweep").put("cpus", 9.0)));
    check("over the limit", environment.submit(job("service").put("pieces", 25)));
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
  void submissionWithMissingFieldIsRejected(String field) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ObjectNode job = job("sweep");
    job.remove(field);
    SentResponse response = environment.submit(job);
    assertEquals(400, response.status());
    assertEquals(field, response.body().get("error").textValue().split(":")[0]);
  }

  @ParameterizedTest
  @ValueSource(strings = {"builds", "site", "due_s"})
  void optionalFieldMayBeNullOrMissing(String field) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    assertEquals(201, environment.submit(job("sweep").put("uid", "req-1").putNull(field)).status());
    ObjectNode without = job("sweep").put("uid", "req-2");
    without.remove(field);
    assertEquals(201, environment.submit(without).status());
    for (String id : List.of("req-1", "req-2")) {
      JsonNode stored = environment.store.value("dw/job/" + id).get("job").get(field);
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
  void enumValuesAreAccepted(String field, String word) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    assertEquals(201, environment.submit(job("saving").put(field, word)).status());
    JsonNode stored =
        environment.store.value("dw/job/" + CHECKPOINTING_JOB_ID).get("job").get(field);
    assertEquals(word, stored.textValue());
  }

  @Test
  void responsesInStoreOutage() {
    ScriptedEnvironment environment = new ScriptedEnvironment();
    environment.store.replyOverride = call -> new Reply(503, null);
    environment.run(SECOND);
    check("not ready", environment.request("GET", "/ready", null));
    check("query in an outage", environment.query(ARRAY_JOB_ID));
    check("cancel in an outage", environment.cancel(ARRAY_JOB_ID));
    check("submit in an outage", environment.submit(job("sweep")));
  }

  @Test
  void responsesWithoutLeader() {
    ScriptedEnvironment environment = ScriptedEnvironment.following();
    environment.peerReplies = call -> new Reply(503, null);
    check("ready", environment.request("GET", "/ready", null));
    check("accepted", environment.submit(job("sweep")));
    check("repeated while pending", environment.submit(job("sweep")));
    check("query pending", environment.query(ARRAY_JOB_ID));
    check("query unknown", environment.query("req-9999"));
    check("cancel without a leader", environment.cancel(ARRAY_JOB_ID));
    check("query cancelled without a leader", environment.query(ARRAY_JOB_ID));
    check("refused without a reason", environment.submit(job("saving").put("desk", "green")));
    check("malformed without a reason", environment.submit(job("saving").put("urgency", "soon")));
  }

  @Test
  void cancellationOfStartedJobNeedsLeader() {
    ScriptedEnvironment environment = ScriptedEnvironment.following();
    environment.peerReplies = call -> new Reply(503, null);
    ObjectNode record = Fixtures.tree("stored-records.json", "loaded half done");
    environment.store.put("dw/job/" + ARRAY_JOB_ID, record, 0);
    check("query half done without a leader", environment.query(ARRAY_JOB_ID));
    check("cancel needs a leader", environment.cancel(ARRAY_JOB_ID));
  }
}
