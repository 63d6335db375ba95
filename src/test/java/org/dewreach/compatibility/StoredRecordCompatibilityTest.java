package org.dewreach.compatibility;

import static org.dewreach.compatibility.ScriptedEnvironment.SECOND;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the values that controllers write to the key-value store. */
class StoredRecordCompatibilityTest {
  private static final String FILE = "stored-records.json";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static void check(String name, ScriptedEnvironment environment, String key) {
    Fixtures.check(FILE, name, environment.store.value(key));
  }

  @Test
  void leaderKeyAndCatalog() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    check("leader", environment, "dw/leader");
    check("catalog", environment, "dw/catalog");
  }

  @Test
  void runningJob() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    environment.submit(job("sweep"));
    check("job", environment, "dw/job/req-5001");
    ScriptedWorker worker = environment.addWorker("vm-000001", "10.1.0.1:9000", "a");
    environment.runWithHeartbeats(worker, 3 * SECOND);
    worker.updateTask("req-5001/0", "exited", "done");
    worker.updateTask("req-5001/2", "exited", "done");
    environment.runWithHeartbeats(worker, 6 * SECOND);
    check("job half done", environment, "dw/job/req-5001");
    check("machines", environment, "dw/machines/0");
    worker.updateAllTasks("exited", "done");
    environment.sendHeartbeat(worker);
    environment.run(SECOND);
    check("over done", environment, "dw/over/req-5001");
    assertNull(environment.store.value("dw/job/req-5001"));
  }

  @Test
  void cancelledJob() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    environment.submit(job("saving"));
    ScriptedWorker worker = environment.addWorker("vm-000001", "10.1.0.1:9000", "a");
    environment.runWithHeartbeats(worker, 3 * SECOND);
    environment.cancel("req-5002");
    check("job cancelled", environment, "dw/job/req-5002");
    environment.runWithHeartbeats(worker, 3 * SECOND);
    check("over cancelled", environment, "dw/over/req-5002");
    assertNull(environment.store.value("dw/job/req-5002"));
  }

  @Test
  void jobAcceptedWithoutLeader() {
    ScriptedEnvironment environment = ScriptedEnvironment.following();
    environment.peerReplies = call -> new Reply(503, null);
    environment.submit(job("service"));
    check("new", environment, "dw/new/req-5003");
    environment.cancel("req-5003");
    check("new cancelled", environment, "dw/new/req-5003");
  }

  @Test
  void rentedMachinesNotYetCommanded() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    environment.submit(job("sweep"));
    environment.run(5 * SECOND);
    check("machines rented", environment, "dw/machines/0");
  }

  /** Every version must read and write this encoding, since each reads the records of others. */
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
  void encodingIsUnchanged(String name) {
    byte[] encoded = Fixtures.hex("stored-records-hex.json", name);
    assertEquals(Fixtures.tree(FILE, name), ControllerUnderTest.readCbor(encoded));
    assertArrayEquals(encoded, ControllerUnderTest.writeCbor(Fixtures.tree(FILE, name)));
  }
}
