package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.wire.Codec;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each check fires when the fault is there that it is to find. */
class CheckerTest {
  private static void assertFinds(String rule, Simulation simulation) {
    List<String> broken = simulation.checker.violations;
    assertTrue(
        broken.stream().anyMatch(line -> line.startsWith(rule)), rule + " not among " + broken);
  }

  private static Simulation busy(double limitFactor) {
    Simulation simulation = new Simulation(7, limitFactor);
    simulation.startWorkload(120 * SECOND, 2 * SECOND);
    return simulation;
  }

  @Test
  void ranTwice() {
    Simulation simulation = busy(1);
    simulation.workerDefects.hidesTasks = true;
    simulation.runUntil(150 * SECOND);
    assertFinds("ran_twice", simulation);
  }

  @Test
  void quota() {
    Simulation simulation = busy(4);
    simulation.runUntil(150 * SECOND);
    assertFinds("quota", simulation);
  }

  @Test
  void ranCancelled() {
    Simulation simulation = busy(1);
    simulation.workerDefects.ignoresStops = true;
    simulation.runUntil(200 * SECOND);
    assertFinds("ran_cancelled", simulation);
  }

  /** A start alone, before the job's tasks have to be gone. */
  @Test
  void startedAfterItWasCancelled() {
    Simulation simulation = busy(1);
    simulation.runUntil(60 * SECOND);
    simulation.workerDefects.startsStopped = true;
    for (int i = 0; i < 6; i++) {
      simulation.users.submitLongJob(2, 100 * SECOND);
    }
    simulation.runUntil(60 * SECOND + 700_000);
    List.copyOf(simulation.users.ids()).stream()
        .filter(id -> id.startsWith("req-long"))
        .forEach(id -> simulation.users.cancel(id, 0));
    simulation.runUntil(70 * SECOND);
    assertFinds("ran_cancelled", simulation);
  }

  /** Controllers that take a team's limit for a tenth of what it is. */
  @Test
  void leftWaiting() {
    Simulation simulation = busy(0.1);
    simulation.checker.faultsEndAt = 20 * SECOND;
    simulation.runUntil(40 * SECOND);
    // No machine is returned for being idle.
    simulation.cloud.outage(260 * SECOND);
    simulation.runUntil(300 * SECOND);
    assertFinds("left_waiting", simulation);
  }

  /** What must be turned away reaches the controllers as something that need not. */
  @Test
  void acceptedWrong() {
    Simulation simulation = busy(1);
    simulation.runUntil(30 * SECOND);
    ObjectNode good = simulation.users.spec(simulation.users.ids().get(0)).toNode();
    good.remove("uid");
    simulation.users.alterSubmission = body -> ((ObjectNode) body).setAll(good);
    simulation.users.sendInvalidRequests(100 * SECOND);
    simulation.runUntil(100 * SECOND);
    assertFinds("accepted_wrong", simulation);
  }

  /** What is wrong in one way reaches the controllers as wrong in another. */
  @Test
  void answeredWrong() {
    Simulation simulation = busy(1);
    simulation.runUntil(30 * SECOND);
    simulation.users.alterSubmission = body -> ((ObjectNode) body).remove("lane");
    simulation.users.sendInvalidRequests(100 * SECOND);
    simulation.runUntil(100 * SECOND);
    assertFinds("answered_wrong", simulation);
  }

  @Test
  void notDone() {
    Simulation simulation = busy(1);
    simulation.workerDefects.claimsDone = true;
    simulation.runUntil(150 * SECOND);
    assertFinds("not_done", simulation);
  }

  @Test
  void wrongPlace() {
    Simulation simulation = busy(1);
    simulation.users.alterSubmission =
        body -> ((ObjectNode) body).putNull("site").putNull("builds");
    simulation.runUntil(200 * SECOND);
    assertFinds("wrong_place", simulation);
  }

  @Test
  void forgotten() {
    Simulation simulation = busy(1);
    simulation.runUntil(60 * SECOND);
    for (String key : List.copyOf(simulation.state.keys.keySet())) {
      if (key.startsWith("dw/job/") || key.startsWith("dw/over/")) {
        simulation.state.damage(key, null);
      }
    }
    Simulation.NODES.forEach(node -> simulation.crash(node, SECOND));
    simulation.runUntil(150 * SECOND);
    assertFinds("forgotten", simulation);
  }

  @Test
  void invented() {
    Simulation simulation = busy(1);
    for (int i = 0; i < 100; i++) {
      simulation.state.damage(
          "dw/over/req-none" + i, Codec.map().put("standing", "done").put("done", 1));
    }
    simulation.runUntil(150 * SECOND);
    assertFinds("invented", simulation);
  }

  @Test
  void wentBack() {
    Simulation simulation = busy(1);
    simulation.runUntil(100 * SECOND);
    for (String key : List.copyOf(simulation.state.keys.keySet())) {
      if (key.startsWith("dw/over/")) {
        simulation.state.damage(key, Codec.map().put("standing", "running").put("done", 1));
      }
    }
    Simulation.NODES.forEach(node -> simulation.crash(node, SECOND));
    simulation.runUntil(200 * SECOND);
    assertFinds("went_back", simulation);
  }

  /** One job alone without an answer, while all others are answered. */
  @Test
  void forgottenBySilence() {
    Simulation simulation = busy(1);
    simulation.runUntil(60 * SECOND);
    String id =
        simulation.users.ids().stream()
            .filter(simulation.checker::accepted)
            .findFirst()
            .orElseThrow();
    simulation.unavailablePath = "/work/" + id;
    simulation.checker.faultsEndAt = 60 * SECOND;
    simulation.runUntil(200 * SECOND);
    assertFinds("forgotten", simulation);
  }

  /** One job alone without an answer while the troubles last, for 90 s. */
  @Test
  void forgottenBesideOthers() {
    Simulation simulation = busy(1);
    simulation.runUntil(30 * SECOND);
    String id =
        simulation.users.ids().stream()
            .filter(simulation.checker::accepted)
            .findFirst()
            .orElseThrow();
    simulation.unavailablePath = "/work/" + id;
    simulation.runUntil(115 * SECOND);
    assertEquals(List.of(), simulation.checker.violations, "for less than 90 s questions may fail");
    simulation.runUntil(140 * SECOND);
    assertFinds("forgotten", simulation);
  }

  /** While nobody is answered, no job is forgotten beside others. */
  @Test
  void nobodyIsAnswered() {
    Simulation simulation = busy(1);
    simulation.runUntil(30 * SECOND);
    Simulation.NODES.forEach(node -> simulation.crash(node, 300 * SECOND));
    simulation.runUntil(200 * SECOND);
    assertEquals(List.of(), simulation.checker.violations);
  }

  private static final String JOB = "req-000001";

  /** Books in which a job was submitted, and nobody has been told anything of it. */
  private static Checker submitted() {
    Checker checker = new Simulation(7).checker;
    checker.onSubmit(
        new JobSpec(
            JOB,
            "sweep",
            "red",
            JobKind.ARRAY,
            Priority.NORMAL,
            1,
            1,
            0,
            1,
            "img",
            1,
            null,
            null,
            false,
            false,
            true,
            SECOND,
            0,
            0,
            -1));
    checker.onCancelRequested(JOB);
    return checker;
  }

  private static void assertFinds(String rule, Checker checker) {
    assertEquals(1, checker.violations.size(), checker.violations.toString());
    assertTrue(checker.violations.get(0).startsWith(rule), checker.violations.toString());
  }

  /** Accepted by any answer that tells of the job, a confirmed cancellation among them. */
  @ParameterizedTest
  @ValueSource(strings = {"submission", "question", "cancellation"})
  void unknownAfterItWasAccepted(String told) {
    Checker checker = submitted();
    Checker.KnownState before = checker.onRequestSent(JOB);
    switch (told) {
      case "submission" -> checker.onSubmitAnswer(JOB, before, 201, "pending");
      case "question" -> checker.onQueryAnswer(JOB, before, 200, "running");
      default -> checker.onCancelAnswer(JOB, before, 200, "withdrawn");
    }
    checker.onQueryAnswer(JOB, before, 404, "");
    assertEquals(
        List.of(), checker.violations, "a question on its way may be answered by what was");
    checker.onQueryAnswer(JOB, checker.onRequestSent(JOB), 404, "");
    assertFinds("forgotten", checker);
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 422})
  void refusedAfterItWasAccepted(int status) {
    Checker checker = submitted();
    checker.onSubmitAnswer(JOB, checker.onRequestSent(JOB), 201, "pending");
    checker.onSubmitAnswer(JOB, checker.onRequestSent(JOB), status, "");
    assertFinds("forgotten", checker);
  }

  /** Whichever request the older answer is to. */
  @ParameterizedTest
  @ValueSource(strings = {"submission", "question", "cancellation"})
  void olderAfterItWasCancelled(String asked) {
    Checker checker = submitted();
    Checker.KnownState before = checker.onRequestSent(JOB);
    checker.onCancelAnswer(JOB, before, 200, "withdrawn");
    checker.onQueryAnswer(JOB, before, 200, "running");
    assertEquals(
        List.of(), checker.violations, "a question on its way may be answered by what was");
    Checker.KnownState after = checker.onRequestSent(JOB);
    switch (asked) {
      case "submission" -> checker.onSubmitAnswer(JOB, after, 200, "pending");
      case "question" -> checker.onQueryAnswer(JOB, after, 200, "running");
      default -> checker.onCancelAnswer(JOB, after, 200, "pending");
    }
    assertFinds("went_back", checker);
  }
}
