package org.dewreach.compatibility;

import static org.dewreach.compatibility.ScriptedSite.S;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The values that controllers write to the key-value store. */
class StoredRecordCompatibilityTest {
  private static final String FILE = "stored-records.json";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static void check(String name, ScriptedSite site, String key) {
    Fixtures.check(FILE, name, site.state.data(key));
  }

  @Test
  void theLeaderKeyAndTheCatalog() {
    ScriptedSite site = ScriptedSite.leading();
    check("leader", site, "dw/leader");
    check("catalog", site, "dw/catalog");
  }

  @Test
  void aJobThatRuns() {
    ScriptedSite site = ScriptedSite.leading();
    site.submit(job("sweep"));
    check("job", site, "dw/job/req-5001");
    ScriptedWorker worker = site.worker("vm-000001", "10.1.0.1:9000", "a");
    site.runWith(worker, 3 * S);
    worker.becomes("req-5001/0", "exited", "done");
    worker.becomes("req-5001/2", "exited", "done");
    site.runWith(worker, 6 * S);
    check("job half done", site, "dw/job/req-5001");
    check("machines", site, "dw/machines/0");
    worker.all("exited", "done");
    site.report(worker);
    site.run(S);
    check("over done", site, "dw/over/req-5001");
    assertNull(site.state.data("dw/job/req-5001"));
  }

  @Test
  void aJobThatIsCancelled() {
    ScriptedSite site = ScriptedSite.leading();
    site.submit(job("saving"));
    ScriptedWorker worker = site.worker("vm-000001", "10.1.0.1:9000", "a");
    site.runWith(worker, 3 * S);
    site.cancel("req-5002");
    check("job cancelled", site, "dw/job/req-5002");
    site.runWith(worker, 3 * S);
    check("over cancelled", site, "dw/over/req-5002");
    assertNull(site.state.data("dw/job/req-5002"));
  }

  @Test
  void aJobAcceptedWithoutALeader() {
    ScriptedSite site = ScriptedSite.following();
    site.peers = call -> new Reply(503, null);
    site.submit(job("service"));
    check("new", site, "dw/new/req-5003");
    site.cancel("req-5003");
    check("new cancelled", site, "dw/new/req-5003");
  }

  @Test
  void machinesThatWereRentedAndNotCommanded() {
    ScriptedSite site = ScriptedSite.leading();
    site.submit(job("sweep"));
    site.run(5 * S);
    check("machines rented", site, "dw/machines/0");
  }

  /** The encoded form, which a key-value store of any version gives back. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "leader",
        "catalog",
        "job",
        "job half done",
        "job cancelled",
        "over done",
        "over cancelled",
        "new",
        "new cancelled",
        "machines",
        "machines rented"
      })
  void theEncodedForm(String name) {
    byte[] encoded = Fixtures.hex("stored-records-hex.json", name);
    assertEquals(Fixtures.tree(FILE, name), ControllerUnderTest.readCbor(encoded));
    assertArrayEquals(encoded, ControllerUnderTest.writeCbor(Fixtures.tree(FILE, name)));
  }
}
