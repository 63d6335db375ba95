package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.dewreach.wire.JobRequest;
import org.dewreach.wire.Shape;
import org.dewreach.wire.Urgency;

/** Users who submit, poll, repeat themselves and withdraw. */
final class SimUsers {
  private final World world;
  private final Random random;
  private final Map<String, JobRequest> specs = new HashMap<>();
  private final List<String> ids = new ArrayList<>();

  /** Changes what the controllers are told of a job; nothing unless a test says so. */
  Consumer<JsonNode> tamper = body -> {};

  SimUsers(World world) {
    this.world = world;
    this.random = world.random;
  }

  /** The nodes that users reach. */
  List<String> nodes = World.NODES;

  /** More small arrays than there is room for, and a large one now and then. */
  boolean flood;

  private JobRequest drawFlood(String id) {
    boolean large = random.nextInt(20) == 0;
    return new JobRequest(
        id, "sweep", random.nextBoolean() ? "red" : "blue", Shape.SWEEP, Urgency.NORMAL,
        large ? 30 : 1 + random.nextInt(6), 2, 0, 2, "img", 1, null, null, false, false, true,
        12_000_000, 0, 0, 60_000_000);
  }

  /** Size and team of a job. */
  String group(String id) {
    return (specs.get(id).tasks() >= 30 ? "large " : "small ") + specs.get(id).team();
  }

  JobRequest spec(String id) {
    return specs.get(id);
  }

  List<String> ids() {
    return ids;
  }

  void arrive() {
    JobRequest spec = draw();
    arrive(spec);
    if (spec.shape() == Shape.SERVICE || !flood && random.nextInt(5) == 0) {
      world.clock.in(2_000_000 + random.nextInt(60_000_000), () -> abort(spec.id(), 0));
    }
    if (random.nextInt(4) == 0) {
      world.clock.in(random.nextInt(100_000_000), () -> submit(spec, 0));
    }
  }

  /** A job of a large fleet: a service, or an array that may use spot machines. */
  void arriveAtFleet(boolean service, int tasks, long runsMicros) {
    String id = String.format("req-%06d", specs.size());
    arrive(
        new JobRequest(
            id, service ? "live" : "sweep", random.nextBoolean() ? "red" : "blue",
            service ? Shape.SERVICE : Shape.SWEEP, service ? Urgency.HIGH : Urgency.NORMAL,
            tasks, 2, 0, 2, "img", 1, null, null, false, false, !service,
            service ? 0 : runsMicros, 0, 0, -1));
    if (service) {
      world.clock.in(runsMicros, () -> abort(id, 0));
    }
  }

  private void arrive(JobRequest spec) {
    specs.put(spec.id(), spec);
    ids.add(spec.id());
    world.checker.onSubmit(spec);
    submit(spec, 0);
    poll(spec.id());
  }

  private JobRequest draw() {
    String id;
    do {
      id = String.format("req-%06d", random.nextInt(1_000_000));
    } while (specs.containsKey(id));
    if (flood) {
      return drawFlood(id);
    }
    boolean service = random.nextInt(3) == 0;
    int tasks = service ? 1 + random.nextInt(2) : 1 + random.nextInt(8);
    boolean together = random.nextInt(6) == 0;
    boolean scatter = !together && random.nextInt(6) == 0;
    return new JobRequest(
        id,
        service ? "live" : "sweep",
        random.nextBoolean() ? "red" : "blue",
        service ? Shape.SERVICE : random.nextInt(5) == 0 ? Shape.GANG : Shape.SWEEP,
        Urgency.values()[random.nextInt(4)],
        tasks,
        1 + random.nextInt(3),
        0,
        1 + random.nextInt(6),
        "img",
        1,
        random.nextInt(5) == 0 ? List.of("big") : null,
        random.nextInt(6) == 0 && !scatter ? "a" : null,
        together,
        scatter,
        random.nextBoolean(),
        service ? 0 : 1_000_000 + random.nextInt(12_000_000),
        0,
        0,
        service ? -1 : 60_000_000);
  }

  private String anyNode() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  private void submit(JobRequest spec, int tries) {
    boolean[] answered = {false};
    Checker.Asked asked = world.checker.ask(spec.id());
    JsonNode described = spec.toNode();
    tamper.accept(described);
    world.toNode("user", anyNode(), "POST", "/work", described, (status, body) -> {
      if (answered[0]) {
        return;
      }
      answered[0] = true;
      world.checker.onSubmitAnswer(spec.id(), asked, status, standing(body));
      if (status >= 429 && tries < 30) {
        world.clock.in(1_000_000, () -> submit(spec, tries + 1));
      }
    });
    world.clock.in(5_000_000, () -> {
      if (!answered[0] && tries < 30) {
        answered[0] = true;
        submit(spec, tries + 1);
      }
    });
  }

  private void poll(String id) {
    world.clock.in(3_000_000 + random.nextInt(4_000_000), () -> {
      // Somebody's polls may be answered by different nodes in any order, but each user asks one
      // at a time: an answer counts only if it came before the next question.
      boolean[] answered = {false};
      Checker.Asked asked = world.checker.ask(id);
      world.toNode("user", anyNode(), "GET", "/work/" + id, null, (status, body) -> {
        if (!answered[0]) {
          answered[0] = true;
          world.checker.onQueryAnswer(id, asked, status, standing(body));
        }
      });
      world.clock.in(2_000_000, () -> {
        answered[0] = true;
        poll(id);
      });
    });
  }

  private void abort(String id, int tries) {
    world.checker.onAbortAsked(id);
    boolean[] answered = {false};
    Checker.Asked asked = world.checker.ask(id);
    world.toNode("user", anyNode(), "POST", "/work/" + id + "/abort", null, (status, body) -> {
      if (answered[0]) {
        return;
      }
      answered[0] = true;
      world.checker.onAbortAnswer(id, asked, status, standing(body));
      if (status != 200 && tries < 30) {
        world.clock.in(1_000_000, () -> abort(id, tries + 1));
      }
    });
    world.clock.in(5_000_000, () -> {
      if (!answered[0] && tries < 30) {
        answered[0] = true;
        abort(id, tries + 1);
      }
    });
  }

  /** A withdrawal, repeated at any node until it is answered. */
  void withdrawUntilTold(String id) {
    abort(id, 0);
  }

  /** One question, to a given node. */
  void ask(String id, String node) {
    Checker.Asked asked = world.checker.ask(id);
    world.toNode("user", node, "GET", "/work/" + id, null, (status, body) ->
        world.checker.onQueryAnswer(id, asked, status, standing(body)));
  }

  /** One withdrawal, to a given node. */
  void withdraw(String id, String node) {
    world.checker.onAbortAsked(id);
    Checker.Asked asked = world.checker.ask(id);
    world.toNode("user", node, "POST", "/work/" + id + "/abort", null, (status, body) ->
        world.checker.onAbortAnswer(id, asked, status, standing(body)));
  }

  /** Asks for a job that nobody submitted. */
  void askForNothing() {
    String id = "req-none" + random.nextInt(100);
    Checker.Asked asked = world.checker.ask(id);
    world.toNode("user", anyNode(), "GET", "/work/" + id, null, (status, body) ->
        world.checker.onQueryAnswer(id, asked, status, standing(body)));
  }

  private static String standing(JsonNode body) {
    return body == null ? "" : body.path("standing").asText("");
  }
}
