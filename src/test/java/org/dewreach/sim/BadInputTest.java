package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that every controller answers invalid user requests as the protocol specifies. */
class BadInputTest {
  private static final String ACTIVE = "req-live";
  private static final String DONE = "req-done";

  /** The controller that receives the requests, and the state of the cluster. */
  private enum Situation {
    LEADER,
    FOLLOWER,
    /** A follower that cannot reach the leader and therefore reads the key-value store. */
    FOLLOWER_WITHOUT_LEADER,
    /** The leader has just crashed and no controller has replaced it yet. */
    NO_LEADER,
    /** The leader acts under the grants of the followers. */
    LEADER_IN_OUTAGE,
    FOLLOWER_IN_OUTAGE,
    /** All controllers were restarted during the outage. */
    NO_LEADER_IN_OUTAGE;

    boolean inOutage() {
      return name().endsWith("IN_OUTAGE");
    }

    /** Sets the situation up and returns the controller to send the requests to. */
    String setUp(Simulation simulation) {
      String leader = simulation.controllers.leader();
      String follower = simulation.controllers.follower();
      if (inOutage()) {
        simulation.store.outage(200 * SECOND);
      }
      if (this == FOLLOWER_WITHOUT_LEADER) {
        simulation.network.refuse(follower, leader, Long.MAX_VALUE);
      } else if (this == NO_LEADER) {
        simulation.controllers.crash(leader, 30 * SECOND);
      } else if (this == NO_LEADER_IN_OUTAGE) {
        Simulation.CONTROLLERS.forEach(
            controller -> simulation.controllers.crash(controller, 100_000));
        simulation.runUntil(simulation.clock.now() + 3 * SECOND);
      } else if (inOutage()) {
        // Longer than the lease of the leader key.
        simulation.runUntil(simulation.clock.now() + 6 * SECOND);
      }
      return this == LEADER || this == LEADER_IN_OUTAGE ? leader : follower;
    }
  }

  private static JobSpec job(String id, JobKind jobKind, long runsMicros) {
    JobSpecBuilder job =
        jobKind == JobKind.SERVICE ? JobSpecBuilder.service(id) : JobSpecBuilder.array(id);
    return job.jobClass("live")
        .priority(Priority.HIGH)
        .image("img", 0.1)
        .spot(false)
        .expectedMicros(runsMicros)
        .build();
  }

  private static ObjectNode newJobNode(String id) {
    return job(id, JobKind.ARRAY, SECOND).toNode();
  }

  /** Changes that make a valid submission malformed (400), by description. */
  private static final Map<String, Consumer<ObjectNode>> MALFORMED = new TreeMap<>();

  /** Changes that make a submission one that can never run (422), by description. */
  private static final Map<String, Consumer<ObjectNode>> UNSATISFIABLE = new TreeMap<>();

  static {
    List<String> optional = List.of("uid", "builds", "site", "due_s");
    newJobNode("req-any")
        .fieldNames()
        .forEachRemaining(
            field -> {
              if (!optional.contains(field)) {
                MALFORMED.put("no " + field, body -> body.remove(field));
              }
              if (!field.equals("uid")) {
                MALFORMED.put("map as " + field, body -> body.putObject(field));
              }
            });
    for (String amount :
        List.of(
            "cpus",
            "cards",
            "memory_gb",
            "pull_gb",
            "expected_s",
            "mark_every_s",
            "mark_cost_s",
            "due_s")) {
      MALFORMED.put("negative " + amount, body -> body.put(amount, -1.0));
      MALFORMED.put("NaN as " + amount, body -> body.put(amount, Double.NaN));
      MALFORMED.put("infinite " + amount, body -> body.put(amount, Double.POSITIVE_INFINITY));
      MALFORMED.put("text as " + amount, body -> body.put(amount, "1"));
    }
    MALFORMED.put("zero pieces", body -> body.put("pieces", 0));
    MALFORMED.put("negative pieces", body -> body.put("pieces", -3));
    MALFORMED.put("half a piece", body -> body.put("pieces", 1.5));
    MALFORMED.put("too many pieces", body -> body.put("pieces", 100_001));
    MALFORMED.put("unknown shape", body -> body.put("shape", "round"));
    MALFORMED.put("unknown urgency", body -> body.put("urgency", "now"));
    UNSATISFIABLE.put("too many cpus", body -> body.put("cpus", 16.5));
    UNSATISFIABLE.put("too much memory", body -> body.put("memory_gb", 64.5));
    UNSATISFIABLE.put("cards", body -> body.put("cards", 1.0));
    UNSATISFIABLE.put("unknown zone", body -> body.put("site", "z"));
    UNSATISFIABLE.put("unknown type", body -> body.putArray("builds").add("none"));
    UNSATISFIABLE.put("unknown team", body -> body.put("desk", "nobody"));
    UNSATISFIABLE.put(
        "beyond the team's limit", body -> body.put("shape", "service").put("pieces", 40));
  }

  /** Sends requests at a fixed interval and collects the responses that were not expected. */
  private static final class RequestBatch {
    /**
     * The interval between requests; keeps the reads of a controller without a leader below the
     * rate limit of the key-value store.
     */
    static final long INTERVAL_MICROS = 100_000;

    /**
     * The maximum number of sampled requests, so that they end before the next leader is elected.
     */
    static final int MAX_REQUESTS_WITHOUT_LEADER = 20;

    final Simulation simulation;
    final String controller;

    /** True if only every eleventh request is sent, up to the maximum without a leader. */
    final boolean sampled;

    final List<String> mismatches = new ArrayList<>();
    int generated;
    int sent;
    int answered;
    int retryResponses;

    RequestBatch(Simulation simulation, String controller, boolean sampled) {
      this.sampled = sampled;
      this.simulation = simulation;
      this.controller = controller;
    }

    /** Schedules a request; a 503 response is accepted only if {@code retryAllowed}. */
    void expect(
        String description,
        String method,
        String path,
        JsonNode body,
        int status,
        Set<String> jobStates,
        boolean retryAllowed) {
      generated++;
      if (sampled && (generated % 11 != 0 || sent >= MAX_REQUESTS_WITHOUT_LEADER)) {
        return;
      }
      sent++;
      simulation.clock.in(
          sent * INTERVAL_MICROS,
          () ->
              simulation.controllers.send(
                  "user",
                  controller,
                  method,
                  path,
                  body,
                  (actual, response) -> {
                    answered++;
                    String jobState = response == null ? "" : response.path("standing").asText();
                    if (actual == 503 && retryAllowed) {
                      retryResponses++;
                    } else if (actual != status || status == 200 && !jobStates.contains(jobState)) {
                      mismatches.add(description + ": " + actual + " " + response);
                    }
                  }));
    }
  }

  /**
   * During an outage it cannot be determined whether a job exists that is not in the leader's
   * cluster state, so 503 is the correct response to any request that depends on it. Without a
   * leader the key-value store has the answer.
   *
   * <p>Fails without any one of: {@code SubmissionHandler.rejectUnlessKnown}, {@code
   * LeaderlessRequestHandler.respondUnlessKnown}, {@code Responder.respondRetry}, which sets the
   * delay before a retry.
   */
  @ParameterizedTest
  @EnumSource(Situation.class)
  @DisplayName(
      "Every controller answers invalid requests, with or without a leader, and in an outage")
  void badInput(Situation situation) {
    Simulation simulation = new Simulation(5);
    simulation.runUntil(10 * SECOND);
    String controller = Simulation.CONTROLLERS.get(0);
    simulation.users.submitNewOnce(job(ACTIVE, JobKind.SERVICE, 0), controller);
    simulation.users.submitNewOnce(job(DONE, JobKind.ARRAY, SECOND), controller);
    simulation.runUntil(130 * SECOND);
    simulation.requests.queryOnce(ACTIVE, controller);
    simulation.requests.queryOnce(DONE, controller);
    simulation.runUntil(131 * SECOND);
    assertTrue(simulation.checker.accepted(ACTIVE), "the job was not accepted");
    assertEquals("done", simulation.checker.reportedFinalState(DONE));
    // The next leader has the finished job neither in its cluster state nor in its cache of final
    // states.
    simulation.controllers.crash(simulation.controllers.leader(), SECOND);
    simulation.runUntil(150 * SECOND);
    RequestBatch requests =
        new RequestBatch(simulation, situation.setUp(simulation), situation == Situation.NO_LEADER);
    sendAll(requests, situation);
    simulation.runUntil(
        simulation.clock.now() + requests.sent * RequestBatch.INTERVAL_MICROS + 6 * SECOND);
    assertEquals(List.of(), requests.mismatches);
    assertEquals(requests.sent, requests.answered);
    assertEquals(0, simulation.delivery.responses503WithoutRetryAfter);
    assertNoViolations(simulation);
    assertTrue(
        situation.inOutage() || requests.retryResponses == 0,
        requests.retryResponses + " responses asked the user to retry outside of an outage");
  }

  private static void sendAll(RequestBatch requests, Situation situation) {
    Set<String> active = Set.of("pending", "running");
    Set<String> done = Set.of("done");
    boolean retryAllowed = situation.inOutage();
    // An active leader has the running job in its cluster state, whether the store is up or not.
    boolean retryAllowedIfActive = situation == Situation.NO_LEADER_IN_OUTAGE;
    requests.expect(
        "cancellation of unknown job",
        "POST",
        cancel("req-none"),
        null,
        404,
        Set.of(),
        retryAllowed);
    requests.expect(
        "query of unknown job", "GET", "/work/req-none", null, 404, Set.of(), retryAllowed);
    requests.expect("query of invalid id", "GET", "/work/none", null, 404, Set.of(), false);
    requests.expect("no body", "POST", "/work", null, 400, Set.of(), false);
    requests.expect("body not a map", "POST", "/work", new TextNode("job"), 400, Set.of(), false);
    ObjectNode noId = newJobNode("req-any");
    noId.remove("uid");
    requests.expect("no uid", "POST", "/work", noId, 400, Set.of(), false);
    requests.expect("uid 7", "POST", "/work", newJobNode("x").put("uid", 7), 400, Set.of(), false);
    for (var kind : List.of(Map.entry(400, MALFORMED), Map.entry(422, UNSATISFIABLE))) {
      kind.getValue()
          .forEach(
              (what, change) -> {
                ObjectNode body = newJobNode("req-new" + requests.generated);
                change.accept(body);
                requests.expect(what, "POST", "/work", body, kind.getKey(), Set.of(), retryAllowed);
                resubmit(requests, ACTIVE, what, change, active, retryAllowedIfActive);
                resubmit(requests, DONE, what, change, done, retryAllowed);
              });
    }
    resubmit(
        requests,
        ACTIVE,
        "other fields",
        body -> body.put("pieces", 3),
        active,
        retryAllowedIfActive);
    resubmit(requests, DONE, "other fields", body -> body.put("pieces", 3), done, retryAllowed);
    // Last, because the leader caches the final state from here on.
    requests.expect(
        "cancellation of finished job", "POST", cancel(DONE), null, 200, done, retryAllowed);
  }

  private static void resubmit(
      RequestBatch requests,
      String id,
      String description,
      Consumer<ObjectNode> change,
      Set<String> jobStates,
      boolean retryAllowed) {
    ObjectNode body = newJobNode(id);
    change.accept(body);
    requests.expect(
        "resubmission of " + id + ", " + description,
        "POST",
        "/work",
        body,
        200,
        jobStates,
        retryAllowed);
  }

  private static String cancel(String id) {
    return "/work/" + id + "/abort";
  }
}
