package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedEnvironment.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.compatibility.ControllerUnderTest.SentResponse;
import org.junit.jupiter.api.Test;

/** Tests how a new leader loads encoded records of an earlier leader. */
class LoadedRecordCompatibilityTest {
  private static final String FILE = "loaded-records.json";

  /** The number of an attempt of an earlier term. */
  private static final long EARLIER_TERM_ATTEMPT = 6_677_331_971L;

  private final ScriptedEnvironment environment = new ScriptedEnvironment();
  private final ScriptedWorker worker = environment.addWorker("vm-000001", "10.1.0.1:9000", "a");

  private void putRecord(String key, String name) {
    byte[] value = Fixtures.hex("stored-records-hex.json", name);
    environment.store.put(key, ControllerUnderTest.readCbor(value), 0);
  }

  /** Starts a controller with the records of an earlier leader and without a leader key. */
  private void startLeaderWithStoredRecords() {
    putRecord("dw/catalog", "loaded catalog");
    putRecord("dw/machines/0", "loaded machines");
    putRecord("dw/job/req-5001", "loaded half done");
    putRecord("dw/job/req-5002", "loaded cancelled");
    putRecord("dw/new/req-5003", "loaded new");
    putRecord("dw/new/req-5004", "loaded new cancelled");
    putRecord("dw/over/req-4001", "loaded over done");
    putRecord("dw/over/req-4002", "loaded over cancelled");
    // The cloud lists a machine from when it is up until it is gone.
    environment.listedMachines.add(
        Fixtures.json(
            """
            {"uid":"vm-000001","address":"10.1.0.1:9000","build":"box","site":"a",
             "loaners":false,"standing":"running","age_s":15.0}"""));
    worker.sequence = 50;
    worker.putTask("req-5001/2", EARLIER_TERM_ATTEMPT, "running", null);
    worker.putTask("req-5002/0", EARLIER_TERM_ATTEMPT + 1, "running", null);
    environment.run(5 * SECOND);
  }

  private static void check(String name, SentResponse response) {
    Fixtures.check(FILE, name, message(response));
  }

  private JsonNode fleetStats() {
    return environment.requestAsPeer("GET", "/stats", null).body().get("fleet");
  }

  @Test
  void queriesAreAnsweredFromRecords() {
    startLeaderWithStoredRecords();
    check("query half done", environment.query("req-5001"));
    check("query cancelled", environment.query("req-5002"));
    check("query new", environment.query("req-5003"));
    check("query new cancelled", environment.query("req-5004"));
    check("query over done", environment.query("req-4001"));
    check("query over cancelled", environment.query("req-4002"));
    check("repeated", environment.submit(Fixtures.tree("jobs.json", "service")));
  }

  @Test
  void jobsAcceptedWithoutLeaderAreImported() {
    startLeaderWithStoredRecords();
    Fixtures.check(FILE, "taken over", environment.store.value("dw/job/req-5003"));
    assertNull(environment.store.value("dw/new/req-5003"));
    assertNull(environment.store.value("dw/new/req-5004"));
    JsonNode transaction = environment.lastTransactionOn("dw/new/req-5003").body();
    Fixtures.check(FILE, "transaction of the taking over", transaction);
  }

  @Test
  void recoveryWaitsForMachinesThatMayHaveBeenCommanded() {
    startLeaderWithStoredRecords();
    assertEquals("RECOVERING", fleetStats().get("phase").textValue());
    assertEquals(2, fleetStats().get("machines").intValue());
    assertTrue(environment.calls.stream().noneMatch(call -> call.path().equals("/do")));
    environment.runWithHeartbeats(worker, 2 * SECOND);
    assertEquals(
        "ACTIVE",
        fleetStats().get("phase").textValue(),
        "no command was ever sent to the other machine");
  }

  @Test
  void tasksContinueFromRecords() {
    startLeaderWithStoredRecords();
    environment.runWithHeartbeats(worker, 4 * SECOND);
    check("query half done, running", environment.query("req-5001"));
    for (int done : new int[] {0, 1, 3, 4}) {
      assertFalse(worker.hasTask("req-5001/" + done), "task " + done + " was done");
    }
    assertTrue(worker.hasTask("req-5001/2") && worker.hasTask("req-5001/5"));
    assertFalse(worker.hasTask("req-5002/0"), "task of a cancelled job");
    Fixtures.check(FILE, "over cancelled", environment.store.value("dw/over/req-5002"));
    worker.updateAllTasks("exited", "done");
    environment.sendHeartbeat(worker);
    environment.run(SECOND);
    Fixtures.check(FILE, "over done", environment.store.value("dw/over/req-5001"));
  }

  /** A page of machine records keeps its entries when another machine is added to it. */
  @Test
  void rewrittenPageKeepsItsMachines() {
    startLeaderWithStoredRecords();
    environment.sendHeartbeat(environment.addWorker("vm-000003", "10.1.0.3:9000", "a"));
    environment.run(SECOND);
    Fixtures.check(FILE, "machines", environment.store.value("dw/machines/0"));
  }
}
