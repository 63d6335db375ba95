package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedEnvironment.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.compatibility.ControllerUnderTest.SentResponse;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Workers' heartbeats with their responses, and what is sent to a worker directly. */
class WorkerApiCompatibilityTest {
  private static final String FILE = "worker-api.json";

  /** Seconds after which a test does not wait any longer. */
  private static final int MAX_WAIT_S = 20;

  private static final String CHECKPOINTING_TASK = "req-5002/0";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static void check(String name, SentResponse answer) {
    Fixtures.check(FILE, name, message(answer));
  }

  private static ScriptedWorker addWorker(ScriptedEnvironment environment) {
    return environment.addWorker("vm-000001", "10.1.0.1:9000", "a");
  }

  /** A site that leads, with a worker that no direct command reaches. */
  private static ScriptedWorker addWorkerIgnoringDirectCalls(ScriptedEnvironment environment) {
    ScriptedWorker worker = addWorker(environment);
    worker.ignoresDirectCalls = true;
    return worker;
  }

  @Test
  void heartbeatWithEveryField() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    check("response without commands", environment.request("POST", "/hello", heartbeat()));
    environment.run(S);
    Fixtures.check(FILE, "machine of the heartbeat", environment.store.value("dw/machines/0"));
  }

  private static ObjectNode heartbeat() {
    return Fixtures.tree(FILE, "heartbeat");
  }

  @Test
  void tasksOfUnknownJobsAreStoppedAndCleared() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ObjectNode report = Fixtures.tree(FILE, "all states");
    assertEquals(200, environment.request("POST", "/hello", report).status());
    environment.run(S);
    // From here on it shows the token of this term, and so is believed.
    report.put("tally", 4).put("warrant", 401);
    check("response to every state", environment.request("POST", "/hello", report));
  }

  @Test
  void responseWithStartCommand() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    environment.submit(job("saving"));
    ScriptedWorker worker = addWorkerIgnoringDirectCalls(environment);
    check("response with start", environment.sendHeartbeatsUntil(worker, "start"));
    assertTrue(worker.hasTask(CHECKPOINTING_TASK));
  }

  @Test
  void stopCommandLeavesTimeForCheckpoint() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorkerIgnoringDirectCalls(environment);
    environment.submit(job("saving"));
    environment.runWithHeartbeats(worker, 6 * S);
    worker.reclaimS = 5.5;
    check("response with halt, time to save", environment.sendHeartbeatsUntil(worker, "halt"));
  }

  @Test
  void responseWithStopCommandForCancelledJob() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorkerIgnoringDirectCalls(environment);
    environment.submit(job("saving"));
    environment.runWithHeartbeats(worker, 6 * S);
    environment.cancel("req-5002");
    check("response with halt", environment.sendHeartbeatsUntil(worker, "halt"));
  }

  @Test
  void responseWithClearCommand() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorkerIgnoringDirectCalls(environment);
    environment.submit(job("saving"));
    environment.runWithHeartbeats(worker, 6 * S);
    // An attempt that was started directly would not be cleared.
    worker.putTask(CHECKPOINTING_TASK, 1, "exited", "stopped");
    check("response with clear", environment.sendHeartbeatsUntil(worker, "clear"));
    assertFalse(worker.hasTask(CHECKPOINTING_TASK));
  }

  @Test
  void directStartAndStopCommands() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorker(environment);
    environment.submit(job("service"));
    environment.runWithHeartbeats(worker, 2 * S);
    Fixtures.check(FILE, "direct start", message(environment.lastCall("POST /do")));
    assertEquals("worker 10.1.0.1:9000", environment.lastCall("POST /do").target());
    assertEquals(2, environment.query("req-5003").body().get("running").intValue());
    environment.cancel("req-5003");
    environment.run(S);
    Fixtures.check(FILE, "direct halt", message(environment.lastCall("POST /do")));
  }

  /** The report in the answer to a direct command counts, also when it was refused. */
  @ParameterizedTest
  @ValueSource(ints = {200, 409})
  void directCommandResponseIsProcessedAsHeartbeat(int status) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorker(environment);
    environment.submit(job("service"));
    worker.directReplyOverride = call -> new Reply(status, worker.executeAndReport(call.body()));
    environment.runWithHeartbeats(worker, 2 * S);
    assertEquals("POST", environment.lastCall("POST /do").method());
    assertEquals(2, environment.query("req-5003").body().get("running").intValue());
  }

  /** A report with an older count and no token is a late copy, or of a worker that restarted. */
  @Test
  void outdatedHeartbeatCausesStatusRequest() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorker(environment);
    environment.runWithHeartbeats(worker, 3 * S);
    ObjectNode old = worker.nextHeartbeat().put("tally", 1).put("warrant", 0);
    check("response to an old report", environment.request("POST", "/hello", old));
    Fixtures.check(FILE, "status request", message(environment.lastCall("GET /status")));
    assertEquals("worker 10.1.0.1:9000", environment.lastCall("GET /status").target());
  }

  /** The answer to the status request has the form of a report: a lower count has it returned. */
  @Test
  void statusResponseIsProcessedAsHeartbeat() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorker(environment);
    environment.runWithHeartbeats(worker, 3 * S);
    ObjectNode old = worker.nextHeartbeat().put("tally", 1).put("warrant", 0);
    worker.directReplyOverride = call -> new Reply(200, old);
    environment.request("POST", "/hello", old);
    environment.run(15 * S);
    assertEquals(
        "vm-000001",
        environment.lastCall("POST /rentals/return").body().get("hosts").get(0).textValue());
  }

  @ParameterizedTest
  @CsvSource({"pulling,0", "running,1", "flushing,1"})
  void taskStatesCountedAsRunning(String standing, int running) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorker(environment);
    environment.submit(job("saving"));
    environment.runWithHeartbeats(worker, 2 * S);
    worker.updateAllTasks(standing, null);
    environment.sendHeartbeat(worker);
    assertEquals(running, environment.query("req-5002").body().get("running").intValue());
  }

  /** Why a task exited decides when a waiting task of its job is started in its place. */
  @ParameterizedTest
  @CsvSource({
    "done,1",
    "stopped,1",
    "error,20",
    "full,4",
    "in_use,11",
    "no_such,3",
    "a cause of a later version,1"
  })
  void exitCauseDeterminesRestartDelay(String cause, int seconds) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorker(environment);
    environment.submit(job("sweep").put("pieces", 5));
    environment.runWithHeartbeats(worker, 3 * S);
    assertEquals(4, worker.taskCount(), "the fifth has no room");
    worker.updateTask("req-5001/0", "exited", cause);
    int after = 0;
    while (after < MAX_WAIT_S && !worker.hasTask("req-5001/4")) {
      environment.runWithHeartbeats(worker, S);
      after++;
    }
    assertEquals(seconds, after);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "host", "address", "build", "site", "loaners", "tenure", "tally", "warrant", "pieces"
      })
  void heartbeatWithMissingFieldIsRejected(String field) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ObjectNode report = heartbeat();
    report.remove(field);
    SentResponse answer = environment.request("POST", "/hello", report);
    assertEquals(400, answer.status());
    assertEquals(null, answer.body());
  }

  @Test
  void followerNamesLeaderInHeartbeatResponse() {
    ScriptedEnvironment environment = ScriptedEnvironment.following();
    check("another leads", environment.request("POST", "/hello", heartbeat()));
    ScriptedEnvironment outage = new ScriptedEnvironment();
    outage.store.replyOverride = call -> new Reply(503, null);
    outage.run(S);
    check("nobody leads", outage.request("POST", "/hello", heartbeat()));
  }

  @Test
  void leaderRejectsTokenOfLaterTerm() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    check(
        "token of a later term",
        environment.request("POST", "/hello", heartbeat().put("warrant", 999)));
  }

  /** A follower out of contact renews leases under the token of the leader that let it. */
  @Test
  void delegateRenewsLeases() {
    ScriptedEnvironment environment = ScriptedEnvironment.following();
    environment.peerReplies =
        call ->
            call.path().equals("/peer/stand-in")
                ? new Reply(200, Fixtures.tree("peer-api.json", "delegation"))
                : null;
    environment.run(2 * S);
    environment.peerReplies = call -> null;
    environment.store.replyOverride = call -> new Reply(503, null);
    environment.run(5 * S);
    check("renewed by a delegate", environment.request("POST", "/hello", heartbeat()));
  }
}
