package org.dewreach.compatibility;

import static org.dewreach.compatibility.Fixtures.message;
import static org.dewreach.compatibility.ScriptedSite.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.compatibility.ControllerUnderTest.Sent;
import org.dewreach.compatibility.ScriptedKeyValueStore.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests to the cloud, and what follows from its answers. */
class CloudApiCompatibilityTest {
  private static final String FILE = "cloud-api.json";

  private static ObjectNode job(String name) {
    return Fixtures.tree("jobs.json", name);
  }

  private static void check(String name, Sent sent) {
    assertEquals("cloud", sent.to());
    Fixtures.check(FILE, name, message(sent));
  }

  private static List<Sent> rentals(ScriptedSite site) {
    return site.sent.stream().filter(call -> call.path().equals("/rentals")).toList();
  }

  private static JsonNode fleet(ScriptedSite site) {
    return site.askAsPeer("GET", "/stats", null).body().get("fleet");
  }

  @Test
  void theCatalog() {
    ScriptedSite site = ScriptedSite.leading();
    check("catalog", site.last("GET /catalog"));
    assertEquals(201, site.submit(job("sweep").put("cpus", 8.0)).status(), "a box has 8");
    assertEquals(422, site.submit(job("saving").put("memory_gb", 32.5)).status(), "it has 32");
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
  void aCatalogWithoutAField(String field) {
    ScriptedSite site = new ScriptedSite();
    ObjectNode catalog = Fixtures.tree("catalog.json", "catalog");
    ((ObjectNode) catalog.get("builds").get(0)).remove(field);
    site.cloudInstead = call -> new Reply(200, catalog);
    site.run(4 * S);
    assertEquals(503, site.submit(job("sweep")).status(), "its types are not known");
  }

  @Test
  void rentingAndReturning() {
    ScriptedSite site = ScriptedSite.leading();
    site.submit(job("sweep"));
    site.run(2 * S);
    check("rental", site.last("POST /rentals"));
    assertEquals(1, fleet(site).get("machines").intValue());
    site.cancel("req-5001");
    site.runWith(site.worker("vm-000001", "10.1.0.1:9000", "a"), 90 * S);
    check("return", site.last("POST /rentals/return"));
    assertEquals(0, fleet(site).get("machines").intValue());
  }

  @Test
  void rentingASpotMachine() {
    ScriptedSite site = ScriptedSite.leading();
    site.submit(job("saving"));
    site.run(40 * S);
    check("spot rental", rentals(site).get(0));
  }

  /** The outcome of a request is unknown: it is repeated under the same name. */
  @ParameterizedTest
  @ValueSource(ints = {0, 429, 503})
  void aRentalOfUnknownOutcome(int status) {
    ScriptedSite site = ScriptedSite.leading();
    JsonNode body = status == 503 ? Fixtures.tree(FILE, "outage") : null;
    site.cloudInstead = call -> call.path().equals("/rentals") ? new Reply(status, body) : null;
    site.submit(job("sweep"));
    site.run(6 * S);
    assertTrue(rentals(site).size() > 1);
    assertEquals(rentals(site).get(0).body(), rentals(site).get(1).body());
  }

  /** No capacity: what is asked for later has another name. */
  @Test
  void aRentalThatIsRefused() {
    ScriptedSite site = ScriptedSite.leading();
    JsonNode body = Fixtures.tree(FILE, "no capacity");
    site.cloudInstead = call -> call.path().equals("/rentals") ? new Reply(503, body) : null;
    site.submit(job("sweep"));
    site.run(60 * S);
    assertTrue(rentals(site).size() > 1);
    assertNotEquals(
        rentals(site).get(0).body().get("hire"), rentals(site).get(1).body().get("hire"));
  }

  @Test
  void theListOfMachines() {
    ScriptedSite site = new ScriptedSite();
    Fixtures.file(FILE).get("listed").forEach(machine -> site.listed.add((ObjectNode) machine));
    site.run(4 * S);
    check("list", site.last("GET /rentals?"));
    site.run(4 * S);
    Fixtures.check(FILE, "machines of the list", site.state.data("dw/machines/0"));
    check("return of the failed one", site.last("POST /rentals/return"));
  }

  @Test
  void aListOfSeveralPages() {
    ScriptedSite site = new ScriptedSite();
    ObjectNode page = Fixtures.json("{\"more\": true}");
    page.set("hosts", Fixtures.file(FILE).get("listed"));
    site.cloudInstead =
        call -> call.path().equals("/rentals?most=500") ? new Reply(200, page) : null;
    site.run(4 * S);
    check("second page", site.last("GET /rentals?after="));
  }
}
