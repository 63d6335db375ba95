package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedSite.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import org.dewreach.compatibility.ControllerUnderTest.Answered;
import org.junit.jupiter.api.Test;

/** A new leader, and what it makes of records that an earlier one left, given in encoded form. */
class LoadedRecordCompatibilityTest {
  private static final String FILE = "loaded-records.json";

  /** An attempt of an earlier term. */
  private static final long EARLIER = 6_677_331_971L;

  private final ScriptedSite site = new ScriptedSite();
  private final ScriptedWorker worker = site.worker("vm-000001", "10.1.0.1:9000", "a");

  private void store(String key, String name) {
    byte[] value = Fixtures.hex("stored-records-hex.json", name);
    site.state.put(key, ControllerUnderTest.readCbor(value), 0);
  }

  /** The records are there, and the leader key is not. */
  private void electedAfterAnother() {
    store("dw/catalog", "loaded catalog");
    store("dw/machines/0", "loaded machines");
    store("dw/job/req-5001", "loaded half done");
    store("dw/job/req-5002", "loaded cancelled");
    store("dw/new/req-5003", "loaded new");
    store("dw/new/req-5004", "loaded new cancelled");
    store("dw/over/req-4001", "loaded over done");
    store("dw/over/req-4002", "loaded over cancelled");
    // The cloud lists a machine that is up for as long as it exists.
    site.listed.add(
        Fixtures.json(
            """
            {"uid":"vm-000001","address":"10.1.0.1:9000","build":"box","site":"a",
             "loaners":false,"standing":"running","age_s":15.0}"""));
    worker.tally = 50;
    worker.has("req-5001/2", EARLIER, "running", null);
    worker.has("req-5002/0", EARLIER + 1, "running", null);
    site.run(5 * S);
  }

  private static void check(String name, Answered answer) {
    Fixtures.check(FILE, name, message(answer));
  }

  private JsonNode fleet() {
    return site.askAsPeer("GET", "/stats", null).body().get("fleet");
  }

  @Test
  void usersAreToldWhatTheRecordsSay() {
    electedAfterAnother();
    check("query half done", site.query("req-5001"));
    check("query cancelled", site.query("req-5002"));
    check("query new", site.query("req-5003"));
    check("query new cancelled", site.query("req-5004"));
    check("query over done", site.query("req-4001"));
    check("query over cancelled", site.query("req-4002"));
    check("repeated", site.submit(Fixtures.tree("jobs.json", "service")));
  }

  @Test
  void jobsAcceptedWithoutALeaderAreTakenOver() {
    electedAfterAnother();
    Fixtures.check(FILE, "taken over", site.state.data("dw/job/req-5003"));
    assertNull(site.state.data("dw/new/req-5003"));
    assertNull(site.state.data("dw/new/req-5004"));
    JsonNode transaction = site.transaction("dw/new/req-5003").body();
    Fixtures.check(FILE, "transaction of the taking over", transaction);
  }

  @Test
  void machinesThatMayHaveBeenCommandedAreWaitedFor() {
    electedAfterAnother();
    assertEquals("RECOVERING", fleet().get("phase").textValue());
    assertEquals(2, fleet().get("machines").intValue());
    assertTrue(site.sent.stream().noneMatch(call -> call.path().equals("/do")));
    site.runWith(worker, 2 * S);
    assertEquals("ACTIVE", fleet().get("phase").textValue(), "the other was never commanded");
  }

  @Test
  void tasksGoOnAsTheRecordsSay() {
    electedAfterAnother();
    site.runWith(worker, 4 * S);
    check("query half done, running", site.query("req-5001"));
    for (int done : new int[] {0, 1, 3, 4}) {
      assertFalse(worker.knows("req-5001/" + done), "task " + done + " was done");
    }
    assertTrue(worker.knows("req-5001/2") && worker.knows("req-5001/5"));
    assertFalse(worker.knows("req-5002/0"), "of a cancelled job");
    Fixtures.check(FILE, "over cancelled", site.state.data("dw/over/req-5002"));
    worker.all("exited", "done");
    site.report(worker);
    site.run(S);
    Fixtures.check(FILE, "over done", site.state.data("dw/over/req-5001"));
  }

  /** The page keeps what it said of its machines when it is written anew, with one more. */
  @Test
  void thePageIsWrittenAnew() {
    electedAfterAnother();
    site.report(site.worker("vm-000003", "10.1.0.3:9000", "a"));
    site.run(S);
    Fixtures.check(FILE, "machines", site.state.data("dw/machines/0"));
  }
}
