package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedEnvironment.SECOND;
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

/** Tests heartbeats, their responses, and the direct requests to workers. */
class WorkerApiCompatibilityTest {
  private static final String FILE = "worker-api.json";

  /** The time after which a test stops waiting for a start command. */
  private static final int MAX_WAIT_S = 20;

  private static final String CHECKPOINTING_TASK = "req-5002/0";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static void check(String name, SentResponse response) {
    Fixtures.check(FILE, name, message(response));
  }

  private static ScriptedWorker addWorker(ScriptedEnvironment environment) {
    return environment.addWorker("vm-000001", "10.1.0.1:9000", "a");
  }

  /** Adds a worker that direct commands do not reach. */
  private static ScriptedWorker addWorkerIgnoringDirectCalls(ScriptedEnvironment environment) {
    ScriptedWorker worker = addWorker(environment);
    worker.ignoresDirectCalls = true;
    return worker;
  }

  @Test
  void heartbeatWithEveryField() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    check("response without commands", environment.request("POST", "/hello", heartbeat()));
    environment.run(SECOND);
    Fixtures.check(FILE, "machine of the heartbeat", environment.store.value("dw/machines/0"));
  }

  private static ObjectNode heartbeat() {
    return Fixtures.tree(FILE, "heartbeat");
  }

  @Test
  void tasksOfUnknownJobsAreStoppedAndCleared() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ObjectNode heartbeat = Fixtures.tree(FILE, "all states");
    assertEquals(200, environment.request("POST", "/hello", heartbeat).status());
    environment.run(SECOND);
    // With the fencing token of this term, the heartbeat is accepted as current.
    heartbeat.put("tally", 4).put("warrant", 401);
    check("response to every state", environment.request("POST", "/hello", heartbeat));
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
    environment.runWithHeartbeats(worker, 6 * SECOND);
    worker.reclaimS = 5.5;
    check("response with halt, time to save", environment.sendHeartbeatsUntil(worker, "halt"));
  }

  @Test
  void responseWithStopCommandForCancelledJob() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorkerIgnoringDirectCalls(environment);
    environment.submit(job("saving"));
    environment.runWithHeartbeats(worker, 6 * SECOND);
    environment.cancel("req-5002");
    check("response with halt", environment.sendHeartbeatsUntil(worker, "halt"));
  }

  @Test
  void responseWithClearCommand() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorkerIgnoringDirectCalls(environment);
    environment.submit(job("saving"));
    environment.runWithHeartbeats(worker, 6 * SECOND);
    // An attempt that was started by a direct command would not be cleared.
    worker.putTask(CHECKPOINTING_TASK, 1, "exited", "stopped");
    check("response with clear", environment.sendHeartbeatsUntil(worker, "clear"));
    assertFalse(worker.hasTask(CHECKPOINTING_TASK));
  }

  @Test
  void directStartAndStopCommands() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorker(environment);
    environment.submit(job("service"));
    environment.runWithHeartbeats(worker, 2 * SECOND);
    Fixtures.check(FILE, "direct start", message(environment.lastCall("POST /do")));
    assertEquals("worker 10.1.0.1:9000", environment.lastCall("POST /do").target());
    assertEquals(2, environment.query("req-5003").body().get("running").intValue());
    environment.cancel("req-5003");
    environment.run(SECOND);
    Fixtures.check(FILE, "direct halt", message(environment.lastCall("POST /do")));
  }

  /** The heartbeat in the response to a direct command is processed, also if it was rejected. */
  @ParameterizedTest
  @ValueSource(ints = {200, 409})
  void directCommandResponseIsProcessedAsHeartbeat(int status) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorker(environment);
    environment.submit(job("service"));
    worker.directReplyOverride =
        call -> new Reply(status, worker.executeAndReturnHeartbeat(call.body()));
    environment.runWithHeartbeats(worker, 2 * SECOND);
    assertEquals("POST", environment.lastCall("POST /do").method());
    assertEquals(2, environment.query("req-5003").body().get("running").intValue());
  }

  /**
   * A heartbeat with a lower sequence number and no token is either delayed or from a restarted
   * worker, so the leader requests its status.
   */
  @Test
  void outdatedHeartbeatCausesStatusRequest() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorker(environment);
    environment.runWithHeartbeats(worker, 3 * SECOND);
    ObjectNode outdated = worker.nextHeartbeat().put("tally", 1).put("warrant", 0);
    check("response to an old report", environment.request("POST", "/hello", outdated));
    Fixtures.check(FILE, "status request", message(environment.lastCall("GET /status")));
    assertEquals("worker 10.1.0.1:9000", environment.lastCall("GET /status").target());
  }

  /**
   * A status response has the form of a heartbeat. A lower sequence number in it shows that the
   * worker restarted, so its machine is released.
   */
  @Test
  void statusResponseIsProcessedAsHeartbeat() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorker(environment);
    environment.runWithHeartbeats(worker, 3 * SECOND);
    ObjectNode outdated = worker.nextHeartbeat().put("tally", 1).put("warrant", 0);
    worker.directReplyOverride = call -> new Reply(200, outdated);
    environment.request("POST", "/hello", outdated);
    environment.run(15 * SECOND);
    assertEquals(
        "vm-000001",
        environment.lastCall("POST /rentals/return").body().get("hosts").get(0).textValue());
  }

  @ParameterizedTest
  @CsvSource({"pulling,0", "running,1", "flushing,1"})
  void taskStatesCountedAsRunning(String state, int running) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ScriptedWorker worker = addWorker(environment);
    environment.submit(job("saving"));
    environment.runWithHeartbeats(worker, 2 * SECOND);
    worker.updateAllTasks(state, null);
    environment.sendHeartbeat(worker);
    assertEquals(running, environment.query("req-5002").body().get("running").intValue());
  }

  /**
   * The exit cause decides when a waiting task of the job is started in place of the exited one.
   */
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
    environment.runWithHeartbeats(worker, 3 * SECOND);
    assertEquals(4, worker.taskCount(), "the fifth task does not fit on the worker");
    worker.updateTask("req-5001/0", "exited", cause);
    int waitedS = 0;
    while (waitedS < MAX_WAIT_S && !worker.hasTask("req-5001/4")) {
      environment.runWithHeartbeats(worker, SECOND);
      waitedS++;
    }
    assertEquals(seconds, waitedS);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "host", "address", "build", "site", "loaners", "tenure", "tally", "warrant", "pieces"
      })
  void heartbeatWithMissingFieldIsRejected(String field) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    ObjectNode heartbeat = heartbeat();
    heartbeat.remove(field);
    SentResponse response = environment.request("POST", "/hello", heartbeat);
    assertEquals(400, response.status());
    assertEquals(null, response.body());
  }

  @Test
  void followerNamesLeaderInHeartbeatResponse() {
    ScriptedEnvironment environment = ScriptedEnvironment.following();
    check("another leads", environment.request("POST", "/hello", heartbeat()));
    ScriptedEnvironment outage = new ScriptedEnvironment();
    outage.store.replyOverride = call -> new Reply(503, null);
    outage.run(SECOND);
    check("nobody leads", outage.request("POST", "/hello", heartbeat()));
  }

  @Test
  void leaderRejectsTokenOfLaterTerm() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    check(
        "token of a later term",
        environment.request("POST", "/hello", heartbeat().put("warrant", 999)));
  }

  /** An isolated follower renews worker leases with the token of the leader that delegated this. */
  @Test
  void delegateRenewsLeases() {
    ScriptedEnvironment environment = ScriptedEnvironment.following();
    environment.peerReplies =
        call ->
            call.path().equals("/peer/stand-in")
                ? new Reply(200, Fixtures.tree("peer-api.json", "delegation"))
                : null;
    environment.run(2 * SECOND);
    environment.peerReplies = call -> null;
    environment.store.replyOverride = call -> new Reply(503, null);
    environment.run(5 * SECOND);
    check("renewed by a delegate", environment.request("POST", "/hello", heartbeat()));
  }
}
