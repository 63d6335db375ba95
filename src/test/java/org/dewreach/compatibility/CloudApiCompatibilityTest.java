package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedEnvironment.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.compatibility.ControllerUnderTest.SentCall;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the requests to the cloud, and the effects of its responses. */
class CloudApiCompatibilityTest {
  private static final String FILE = "cloud-api.json";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static void check(String name, SentCall sent) {
    assertEquals("cloud", sent.target());
    Fixtures.check(FILE, name, message(sent));
  }

  private static List<SentCall> rentalCalls(ScriptedEnvironment environment) {
    return environment.calls.stream().filter(call -> call.path().equals("/rentals")).toList();
  }

  private static JsonNode fleetStats(ScriptedEnvironment environment) {
    return environment.requestAsPeer("GET", "/stats", null).body().get("fleet");
  }

  @Test
  void catalogLimitsSubmittedJobs() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    check("catalog", environment.lastCall("GET /catalog"));
    assertEquals(
        201,
        environment.submit(job("sweep").put("cpus", 8.0)).status(),
        "machine type box has 8 CPUs");
    assertEquals(
        422,
        environment.submit(job("saving").put("memory_gb", 32.5)).status(),
        "machine type box has 32 GB");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "name",
        "cpus",
        "memory_gb",
        "cache_gb",
        "fetch_gb_per_s",
        "price",
        "spot_price",
        "ready_s"
      })
  void catalogWithMissingFieldIsRejected(String field) {
    ScriptedEnvironment environment = new ScriptedEnvironment();
    ObjectNode catalog = Fixtures.tree("catalog.json", "catalog");
    ((ObjectNode) catalog.get("builds").get(0)).remove(field);
    environment.cloudOverride = call -> new Reply(200, catalog);
    environment.run(4 * SECOND);
    assertEquals(503, environment.submit(job("sweep")).status(), "no machine type is known");
  }

  @Test
  void rentsAndReleasesMachine() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    environment.submit(job("sweep"));
    environment.run(2 * SECOND);
    check("rental", environment.lastCall("POST /rentals"));
    assertEquals(1, fleetStats(environment).get("machines").intValue());
    environment.cancel("req-5001");
    environment.runWithHeartbeats(
        environment.addWorker("vm-000001", "10.1.0.1:9000", "a"), 90 * SECOND);
    check("return", environment.lastCall("POST /rentals/return"));
    assertEquals(0, fleetStats(environment).get("machines").intValue());
  }

  @Test
  void rentsSpotMachine() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    environment.submit(job("saving"));
    environment.run(40 * SECOND);
    check("spot rental", rentalCalls(environment).get(0));
  }

  /** A rental request whose outcome is unknown is retried under the same name. */
  @ParameterizedTest
  @ValueSource(ints = {0, 429, 503})
  void rentalWithUnknownOutcomeIsRetriedUnderSameName(int status) {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    JsonNode body = status == 503 ? Fixtures.tree(FILE, "outage") : null;
    environment.cloudOverride =
        call -> call.path().equals("/rentals") ? new Reply(status, body) : null;
    environment.submit(job("sweep"));
    environment.run(6 * SECOND);
    assertTrue(rentalCalls(environment).size() > 1);
    assertEquals(rentalCalls(environment).get(0).body(), rentalCalls(environment).get(1).body());
  }

  /** After a rental request was refused for lack of capacity, the next has another name. */
  @Test
  void refusedRentalIsFollowedByRequestWithNewName() {
    ScriptedEnvironment environment = ScriptedEnvironment.leading();
    JsonNode body = Fixtures.tree(FILE, "no capacity");
    environment.cloudOverride =
        call -> call.path().equals("/rentals") ? new Reply(503, body) : null;
    environment.submit(job("sweep"));
    environment.run(60 * SECOND);
    assertTrue(rentalCalls(environment).size() > 1);
    assertNotEquals(
        rentalCalls(environment).get(0).body().get("hire"),
        rentalCalls(environment).get(1).body().get("hire"));
  }

  @Test
  void listsMachines() {
    ScriptedEnvironment environment = new ScriptedEnvironment();
    Fixtures.file(FILE)
        .get("listed")
        .forEach(machine -> environment.listedMachines.add((ObjectNode) machine));
    environment.run(4 * SECOND);
    check("list", environment.lastCall("GET /rentals?"));
    environment.run(4 * SECOND);
    Fixtures.check(FILE, "machines of the list", environment.store.value("dw/machines/0"));
    check("return of the failed one", environment.lastCall("POST /rentals/return"));
  }

  @Test
  void listsMachinesOverSeveralPages() {
    ScriptedEnvironment environment = new ScriptedEnvironment();
    ObjectNode page = Fixtures.json("{\"more\": true}");
    page.set("hosts", Fixtures.file(FILE).get("listed"));
    environment.cloudOverride =
        call -> call.path().equals("/rentals?most=500") ? new Reply(200, page) : null;
    environment.run(4 * SECOND);
    check("second page", environment.lastCall("GET /rentals?after="));
  }
}
