package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedSite.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.compatibility.ControllerUnderTest.Answered;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Workers' heartbeats with their responses, and what is sent to a worker directly. */
class WorkerApiCompatibilityTest {
  private static final String FILE = "worker-api.json";

  /** Seconds after which a test does not wait any longer. */
  private static final int NEVER = 20;

  private static final String TASK = "req-5002/0";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static void check(String name, Answered answer) {
    Fixtures.check(FILE, name, message(answer));
  }

  private static ScriptedWorker workerOf(ScriptedSite site) {
    return site.worker("vm-000001", "10.1.0.1:9000", "a");
  }

  /** A site that leads, with a worker that no direct command reaches. */
  private static ScriptedWorker deafWorkerOf(ScriptedSite site) {
    ScriptedWorker worker = workerOf(site);
    worker.deaf = true;
    return worker;
  }

  @Test
  void aHeartbeatWithEveryField() {
    ScriptedSite site = ScriptedSite.leading();
    check("response without commands", site.ask("POST", "/hello", heartbeat()));
    site.run(S);
    Fixtures.check(FILE, "machine of the heartbeat", site.state.data("dw/machines/0"));
  }

  private static ObjectNode heartbeat() {
    return Fixtures.tree(FILE, "heartbeat");
  }

  @Test
  void tasksOfNoKnownJobAreStoppedAndCleared() {
    ScriptedSite site = ScriptedSite.leading();
    ObjectNode report = Fixtures.tree(FILE, "all states");
    assertEquals(200, site.ask("POST", "/hello", report).status());
    site.run(S);
    // From here on it shows the token of this term, and so is believed.
    report.put("tally", 4).put("warrant", 401);
    check("response to every state", site.ask("POST", "/hello", report));
  }

  @Test
  void startInAResponse() {
    ScriptedSite site = ScriptedSite.leading();
    site.submit(job("saving"));
    ScriptedWorker worker = deafWorkerOf(site);
    check("response with start", site.reportUntil(worker, "start"));
    assertTrue(worker.knows(TASK));
  }

  @Test
  void haltInAResponseLeavesTimeToSave() {
    ScriptedSite site = ScriptedSite.leading();
    ScriptedWorker worker = deafWorkerOf(site);
    site.submit(job("saving"));
    site.runWith(worker, 6 * S);
    worker.recall = 5.5;
    check("response with halt, time to save", site.reportUntil(worker, "halt"));
  }

  @Test
  void haltInAResponseForACancelledJob() {
    ScriptedSite site = ScriptedSite.leading();
    ScriptedWorker worker = deafWorkerOf(site);
    site.submit(job("saving"));
    site.runWith(worker, 6 * S);
    site.cancel("req-5002");
    check("response with halt", site.reportUntil(worker, "halt"));
  }

  @Test
  void clearInAResponse() {
    ScriptedSite site = ScriptedSite.leading();
    ScriptedWorker worker = deafWorkerOf(site);
    site.submit(job("saving"));
    site.runWith(worker, 6 * S);
    // An attempt that was started directly would not be cleared.
    worker.has(TASK, 1, "exited", "stopped");
    check("response with clear", site.reportUntil(worker, "clear"));
    assertFalse(worker.knows(TASK));
  }

  @Test
  void directStartAndHalt() {
    ScriptedSite site = ScriptedSite.leading();
    ScriptedWorker worker = workerOf(site);
    site.submit(job("service"));
    site.runWith(worker, 2 * S);
    Fixtures.check(FILE, "direct start", message(site.last("POST /do")));
    assertEquals("worker 10.1.0.1:9000", site.last("POST /do").to());
    assertEquals(2, site.query("req-5003").body().get("running").intValue());
    site.cancel("req-5003");
    site.run(S);
    Fixtures.check(FILE, "direct halt", message(site.last("POST /do")));
  }

  /** The report in the answer to a direct command counts, also when it was refused. */
  @ParameterizedTest
  @ValueSource(ints = {200, 409})
  void theAnswerToADirectCommandIsAReport(int status) {
    ScriptedSite site = ScriptedSite.leading();
    ScriptedWorker worker = workerOf(site);
    site.submit(job("service"));
    worker.direct = call -> new Reply(status, worker.executed(call.body()));
    site.runWith(worker, 2 * S);
    assertEquals("POST", site.last("POST /do").method());
    assertEquals(2, site.query("req-5003").body().get("running").intValue());
  }

  /** A report with an older count and no token is a late copy, or of a worker that restarted. */
  @Test
  void theStatusOfAWorkerIsAskedFor() {
    ScriptedSite site = ScriptedSite.leading();
    ScriptedWorker worker = workerOf(site);
    site.runWith(worker, 3 * S);
    ObjectNode old = worker.report().put("tally", 1).put("warrant", 0);
    check("response to an old report", site.ask("POST", "/hello", old));
    Fixtures.check(FILE, "status request", message(site.last("GET /status")));
    assertEquals("worker 10.1.0.1:9000", site.last("GET /status").to());
  }

  /** The answer to the status request has the form of a report: a lower count has it returned. */
  @Test
  void theAnswerToAStatusRequestIsAReport() {
    ScriptedSite site = ScriptedSite.leading();
    ScriptedWorker worker = workerOf(site);
    site.runWith(worker, 3 * S);
    ObjectNode old = worker.report().put("tally", 1).put("warrant", 0);
    worker.direct = call -> new Reply(200, old);
    site.ask("POST", "/hello", old);
    site.run(15 * S);
    assertEquals(
        "vm-000001", site.last("POST /rentals/return").body().get("hosts").get(0).textValue());
  }

  @ParameterizedTest
  @CsvSource({"pulling,0", "running,1", "flushing,1"})
  void whatATaskIsDoing(String standing, int running) {
    ScriptedSite site = ScriptedSite.leading();
    ScriptedWorker worker = workerOf(site);
    site.submit(job("saving"));
    site.runWith(worker, 2 * S);
    worker.all(standing, null);
    site.report(worker);
    assertEquals(running, site.query("req-5002").body().get("running").intValue());
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
  void whyATaskExited(String cause, int seconds) {
    ScriptedSite site = ScriptedSite.leading();
    ScriptedWorker worker = workerOf(site);
    site.submit(job("sweep").put("pieces", 5));
    site.runWith(worker, 3 * S);
    assertEquals(4, worker.count(), "the fifth has no room");
    worker.becomes("req-5001/0", "exited", cause);
    int after = 0;
    while (after < NEVER && !worker.knows("req-5001/4")) {
      site.runWith(worker, S);
      after++;
    }
    assertEquals(seconds, after);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "host", "address", "build", "site", "loaners", "tenure", "tally", "warrant", "pieces"
      })
  void aFieldThatMustBeThere(String field) {
    ScriptedSite site = ScriptedSite.leading();
    ObjectNode report = heartbeat();
    report.remove(field);
    Answered answer = site.ask("POST", "/hello", report);
    assertEquals(400, answer.status());
    assertEquals(null, answer.body());
  }

  @Test
  void aNodeThatDoesNotLead() {
    ScriptedSite site = ScriptedSite.following();
    check("another leads", site.ask("POST", "/hello", heartbeat()));
    ScriptedSite outage = new ScriptedSite();
    outage.state.instead = call -> new Reply(503, null);
    outage.run(S);
    check("nobody leads", outage.ask("POST", "/hello", heartbeat()));
  }

  @Test
  void aNodeThatLeadsRefusesAHigherToken() {
    ScriptedSite site = ScriptedSite.leading();
    check("token of a later term", site.ask("POST", "/hello", heartbeat().put("warrant", 999)));
  }

  /** A follower out of contact renews leases under the token of the leader that let it. */
  @Test
  void aDelegateRenewsLeases() {
    ScriptedSite site = ScriptedSite.following();
    site.peers =
        call ->
            call.path().equals("/peer/stand-in")
                ? new Reply(200, Fixtures.tree("peer-api.json", "delegation"))
                : null;
    site.run(2 * S);
    site.peers = call -> null;
    site.state.instead = call -> new Reply(503, null);
    site.run(5 * S);
    check("renewed by a delegate", site.ask("POST", "/hello", heartbeat()));
  }
}
