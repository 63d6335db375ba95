package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertNoViolations;
import static org.dewreach.sim.SimulationFixture.busyCluster;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Stream;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.Codec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that each rule of the checker reports a violation when a fault breaks the rule. */
class CheckerTest {
  private static final long SEED = 7;

  private static void assertFinds(String rule, Simulation simulation) {
    List<String> violations = simulation.checker.violations;
    assertTrue(
        violations.stream().anyMatch(line -> line.startsWith(rule)),
        rule + " is not among the violations " + violations);
  }

  private static void assertFindsUntil(long untilMicros, String rule, Simulation simulation) {
    simulation.runUntil(untilMicros);
    assertFinds(rule, simulation);
  }

  private static Simulation busy(double quotaFactor) {
    Simulation simulation = new Simulation(SEED, quotaFactor);
    simulation.startWorkload(120 * SECOND, 2 * SECOND);
    return simulation;
  }

  private static Simulation busyUntil(long untilMicros) {
    return busyCluster(SEED, 120 * SECOND, 2 * SECOND, untilMicros);
  }

  /** Makes all requests about one accepted job fail from now on. */
  private static void failRequestsAboutOneJob(Simulation simulation) {
    String id =
        simulation.users.ids().stream()
            .filter(simulation.checker::accepted)
            .findFirst()
            .orElseThrow();
    simulation.controllers.unavailablePath = "/work/" + id;
  }

  /** Returns the keys in the key-value store that have one of the given prefixes. */
  private static List<String> keysUnder(Simulation simulation, String... prefixes) {
    return simulation.store.keys.keySet().stream()
        .filter(key -> Stream.of(prefixes).anyMatch(key::startsWith))
        .toList();
  }

  private static void crashAll(Simulation simulation, long backAfterMicros) {
    Simulation.CONTROLLERS.forEach(
        controller -> simulation.controllers.crash(controller, backAfterMicros));
  }

  @Test
  void ranTwice() {
    Simulation simulation = busy(1);
    simulation.workerDefects.omitsRunningTasks = true;
    assertFindsUntil(150 * SECOND, "ran_twice", simulation);
  }

  @Test
  void quota() {
    Simulation simulation = busy(4);
    assertFindsUntil(150 * SECOND, "quota", simulation);
  }

  @Test
  void ranCancelled() {
    Simulation simulation = busy(1);
    simulation.workerDefects.ignoresStops = true;
    assertFindsUntil(200 * SECOND, "ran_cancelled", simulation);
  }

  /** A single start after the cancellation, before the time by which the job's tasks must end. */
  @Test
  void startedAfterItWasCancelled() {
    Simulation simulation = busyUntil(60 * SECOND);
    simulation.workerDefects.startsStoppedTasks = true;
    for (int i = 0; i < 6; i++) {
      simulation.users.submitLongJob(2, 100 * SECOND);
    }
    simulation.runUntil(60 * SECOND + 700_000);
    List.copyOf(simulation.users.ids()).stream()
        .filter(id -> id.startsWith("req-long"))
        .forEach(simulation.requests::cancelUntilConfirmed);
    assertFindsUntil(70 * SECOND, "ran_cancelled", simulation);
  }

  /** The controllers are configured with a tenth of team red's quota. */
  @Test
  void leftWaiting() {
    Simulation simulation = busy(0.1);
    simulation.checker.faultsEndAt = 20 * SECOND;
    simulation.runUntil(40 * SECOND);
    // Prevents the release of idle machines.
    simulation.cloud.outage(260 * SECOND);
    assertFindsUntil(300 * SECOND, "left_waiting", simulation);
  }

  /** Submissions that must be rejected are altered on their way into valid ones. */
  @Test
  void acceptedWrong() {
    Simulation simulation = busyUntil(30 * SECOND);
    ObjectNode good = simulation.users.spec(simulation.users.ids().get(0)).toNode();
    good.remove("uid");
    simulation.requests.alterSubmission = body -> ((ObjectNode) body).setAll(good);
    simulation.users.sendInvalidRequests(100 * SECOND);
    assertFindsUntil(100 * SECOND, "accepted_wrong", simulation);
  }

  /** Invalid submissions are altered on their way so that they are invalid in another field. */
  @Test
  void answeredWrong() {
    Simulation simulation = busyUntil(30 * SECOND);
    simulation.requests.alterSubmission = body -> ((ObjectNode) body).remove("lane");
    simulation.users.sendInvalidRequests(100 * SECOND);
    assertFindsUntil(100 * SECOND, "answered_wrong", simulation);
  }

  @Test
  void notDone() {
    Simulation simulation = busy(1);
    simulation.workerDefects.reportsFalseCompletion = true;
    assertFindsUntil(150 * SECOND, "not_done", simulation);
  }

  @Test
  void wrongPlace() {
    Simulation simulation = busy(1);
    simulation.requests.alterSubmission =
        body -> ((ObjectNode) body).putNull("site").putNull("builds");
    assertFindsUntil(200 * SECOND, "wrong_place", simulation);
  }

  @Test
  void forgotten() {
    Simulation simulation = busyUntil(60 * SECOND);
    keysUnder(simulation, "dw/job/", "dw/over/")
        .forEach(key -> simulation.store.corrupt(key, null));
    crashAll(simulation, SECOND);
    assertFindsUntil(150 * SECOND, "forgotten", simulation);
  }

  @Test
  void invented() {
    Simulation simulation = busy(1);
    for (int i = 0; i < 100; i++) {
      simulation.store.corrupt(
          "dw/over/req-none" + i, Codec.map().put("standing", "done").put("done", 1));
    }
    assertFindsUntil(150 * SECOND, "invented", simulation);
  }

  @Test
  void wentBack() {
    Simulation simulation = busyUntil(100 * SECOND);
    for (String key : keysUnder(simulation, "dw/over/")) {
      simulation.store.corrupt(key, Codec.map().put("standing", "running").put("done", 1));
    }
    crashAll(simulation, SECOND);
    assertFindsUntil(200 * SECOND, "went_back", simulation);
  }

  /** Requests about one job fail after the end of all faults, while those about others succeed. */
  @Test
  void forgottenWithoutResponses() {
    Simulation simulation = busyUntil(60 * SECOND);
    failRequestsAboutOneJob(simulation);
    simulation.checker.faultsEndAt = 60 * SECOND;
    assertFindsUntil(200 * SECOND, "forgotten", simulation);
  }

  /** Requests about one job fail for 90 s during faults, while those about others succeed. */
  @Test
  void forgottenBesideOthers() {
    Simulation simulation = busyUntil(30 * SECOND);
    failRequestsAboutOneJob(simulation);
    simulation.runUntil(115 * SECOND);
    assertEquals(List.of(), simulation.checker.violations, "queries may fail for less than 90 s");
    assertFindsUntil(140 * SECOND, "forgotten", simulation);
  }

  /** While requests about all jobs fail, no single job counts as forgotten. */
  @Test
  void noJobGetsResponses() {
    Simulation simulation = busyUntil(30 * SECOND);
    crashAll(simulation, 300 * SECOND);
    simulation.runUntil(200 * SECOND);
    assertNoViolations(simulation);
  }

  private static final String JOB = "req-000001";

  /** A checker after the submission and cancellation of a job, before any response about it. */
  private static Checker checkerWithSubmittedJob() {
    Checker checker = new Simulation(SEED).checker;
    checker.onSubmit(JobSpecBuilder.array(JOB).jobClass("sweep").expectedMicros(SECOND).build());
    checker.onCancelRequested(JOB);
    return checker;
  }

  private static void assertFinds(String rule, Checker checker) {
    assertEquals(1, checker.violations.size(), checker.violations.toString());
    assertTrue(checker.violations.get(0).startsWith(rule), checker.violations.toString());
  }

  /** A job counts as accepted after any response with its state, also a confirmed cancellation. */
  @ParameterizedTest
  @ValueSource(strings = {"submission", "query", "cancellation"})
  void unknownAfterItWasAccepted(String kind) {
    Checker checker = checkerWithSubmittedJob();
    Checker.KnownState before = checker.onRequestSent(JOB);
    switch (kind) {
      case "submission" -> checker.onSubmitResponse(JOB, before, 201, "pending");
      case "query" -> checker.onQueryResponse(JOB, before, 200, "running");
      default -> checker.onCancelResponse(JOB, before, 200, "withdrawn");
    }
    checker.onQueryResponse(JOB, before, 404, "");
    assertEquals(List.of(), checker.violations, "a query sent before may return the earlier state");
    checker.onQueryResponse(JOB, checker.onRequestSent(JOB), 404, "");
    assertFinds("forgotten", checker);
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 422})
  void rejectedAfterItWasAccepted(int status) {
    Checker checker = checkerWithSubmittedJob();
    checker.onSubmitResponse(JOB, checker.onRequestSent(JOB), 201, "pending");
    checker.onSubmitResponse(JOB, checker.onRequestSent(JOB), status, "");
    assertFinds("forgotten", checker);
  }

  /** An older state is a violation in the response to any kind of request. */
  @ParameterizedTest
  @ValueSource(strings = {"submission", "query", "cancellation"})
  void olderAfterItWasCancelled(String kind) {
    Checker checker = checkerWithSubmittedJob();
    Checker.KnownState before = checker.onRequestSent(JOB);
    checker.onCancelResponse(JOB, before, 200, "withdrawn");
    checker.onQueryResponse(JOB, before, 200, "running");
    assertEquals(List.of(), checker.violations, "a query sent before may return the earlier state");
    Checker.KnownState after = checker.onRequestSent(JOB);
    switch (kind) {
      case "submission" -> checker.onSubmitResponse(JOB, after, 200, "pending");
      case "query" -> checker.onQueryResponse(JOB, after, 200, "running");
      default -> checker.onCancelResponse(JOB, after, 200, "pending");
    }
    assertFinds("went_back", checker);
  }
}
