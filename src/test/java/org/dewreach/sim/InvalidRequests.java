package org.dewreach.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Random;

/** Requests that are out of place: malformed jobs, odd repeats, cancellations of ended jobs. */
final class InvalidRequests {
  private static final List<String> REQUIRED_FIELDS =
      List.of(
          "lane",
          "desk",
          "shape",
          "urgency",
          "pieces",
          "cpus",
          "cards",
          "memory_gb",
          "bundle",
          "pull_gb",
          "together",
          "scatter",
          "loaners",
          "expected_s",
          "mark_every_s",
          "mark_cost_s");

  private static final List<String> NUMERIC_FIELDS =
      List.of("cpus", "cards", "memory_gb", "pull_gb", "expected_s", "due_s");

  private final SimUsers users;
  private final UserRequests requests;
  private final Checker checker;
  private final Clock clock;
  private final Random random;
  private int submitted;

  InvalidRequests(Simulation simulation, SimUsers users) {
    this.users = users;
    this.requests = simulation.requests;
    this.checker = simulation.checker;
    this.clock = simulation.clock;
    this.random = simulation.random;
  }

  /** Sends one of them now and then until the time given, to any node. */
  void sendUntil(long untilMicros) {
    if (clock.now() < untilMicros) {
      switch (random.nextInt(6)) {
        case 0, 1 -> resubmitAltered();
        case 2 -> cancelEndedJob();
        case 3 -> requests.cancelOnce("req-none" + random.nextInt(100), requests.anyController());
        case 4 -> submit(unsatisfiable(), 422);
        default -> submit(malformed(), 400);
      }
      clock.in(100_000 + random.nextInt(600_000), () -> sendUntil(untilMicros));
    }
  }

  /** A repeat, perhaps one that differs or could not be accepted. */
  private void resubmitAltered() {
    List<String> known = users.ids().stream().filter(checker::accepted).toList();
    if (!known.isEmpty()) {
      String id = known.get(random.nextInt(known.size()));
      ObjectNode body = users.spec(id).toNode();
      switch (random.nextInt(4)) {
        case 0 -> body.put("pieces", 77).put("lane", "other");
        case 1 -> makeUnsatisfiable(body);
        case 2 -> makeMalformed(body);
        default -> {
          // just a repeat
        }
      }
      requests.submitUntilAnswered(id, body);
    }
  }

  private void cancelEndedJob() {
    List<String> ended =
        users.ids().stream().filter(id -> checker.reportedFinalState(id) != null).toList();
    if (!ended.isEmpty()) {
      requests.cancelOnce(ended.get(random.nextInt(ended.size())), requests.anyController());
    }
  }

  private void submit(ObjectNode body, int refusal) {
    String id = body.path("uid").asText();
    checker.onInvalidSubmit(id, refusal);
    requests.submitUntilAnswered(id, body);
  }

  private ObjectNode newJob() {
    return users.drawJob().toNode().put("uid", "req-odd" + submitted++);
  }

  /** A job that fits no machine type, or is beyond its team's limit. */
  private ObjectNode unsatisfiable() {
    ObjectNode body = newJob();
    makeUnsatisfiable(body);
    return body;
  }

  private void makeUnsatisfiable(ObjectNode body) {
    switch (random.nextInt(6)) {
      case 0 -> body.put("cpus", 16.5);
      case 1 -> body.put("memory_gb", 64.5);
      case 2 -> body.put("cards", 1.0);
      case 3 -> body.put("site", "z");
      case 4 -> body.put("desk", "nobody");
      default -> body.put("shape", "service").put("pieces", 40).put("cpus", 1.0);
    }
  }

  /** A job that lacks a field, or has one that is none. */
  private ObjectNode malformed() {
    ObjectNode body = newJob();
    makeMalformed(body);
    return body;
  }

  private void makeMalformed(ObjectNode body) {
    String amount = NUMERIC_FIELDS.get(random.nextInt(NUMERIC_FIELDS.size()));
    switch (random.nextInt(5)) {
      case 0 -> body.remove(requiredField());
      case 1 -> body.putArray(requiredField());
      case 2 -> body.put(amount, Double.NaN);
      case 3 -> body.put(amount, -1.0);
      default -> body.put("pieces", 1.5);
    }
  }

  private String requiredField() {
    return REQUIRED_FIELDS.get(random.nextInt(REQUIRED_FIELDS.size()));
  }
}
