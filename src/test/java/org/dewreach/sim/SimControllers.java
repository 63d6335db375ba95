package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.dewreach.config.Tuning;
import org.dewreach.controller.Controller;
import org.dewreach.port.Effect;
import org.dewreach.port.Event;

/** The controllers' processes: starts, ends and freezes them, and hands events to their cores. */
final class SimControllers {
  private static final String HEARTBEAT_PATH = "/hello";

  private final Simulation simulation;
  private final Clock clock;
  private final Random random;
  private final Map<String, ControllerProcess> processes = new HashMap<>();

  /** Requests to this path are answered 503, whatever node they go to. */
  String unavailablePath;

  SimControllers(Simulation simulation, double limitFactor) {
    this.simulation = simulation;
    this.clock = simulation.clock;
    this.random = simulation.random;
    for (String name : Simulation.CONTROLLERS) {
      processes.put(
          name,
          new ControllerProcess(name, SimulationSettings.of(name, limitFactor, simulation.size)));
    }
  }

  // Processes

  /** Starts the node's process unless it is up. */
  void start(String name) {
    ControllerProcess process = processes.get(name);
    if (process.core != null) {
      return;
    }
    process.frozenUntil = 0;
    process.startedAt = clock.now();
    process.drift = 1 + random.nextDouble() * 0.0005;
    process.boots++;
    process.core =
        new Controller(
            process.settings,
            Tuning.DEFAULT,
            name + "-" + process.boots,
            new Random(random.nextLong()),
            clock.now() + (random.nextInt(200) - 100) * 1000L);
    tick(process, process.core);
  }

  /** Ends the node's process; another one is started later. */
  void crash(String name, long backAfterMicros) {
    processes.get(name).end();
    clock.in(backAfterMicros, () -> start(name));
  }

  /** The node computes several times slower: whatever it handles waits. */
  void slow(String name, long untilMicros, long byMicros) {
    processes.get(name).slow(untilMicros, byMicros);
  }

  /**
   * The node stands still while its clocks run on, from the middle of the next event it handles:
   * what it has decided on then goes out afterwards, and what reaches it meanwhile waits.
   */
  void freeze(String name, long micros) {
    processes.get(name).freezeAtNextEvent(micros);
  }

  /** As above, from the middle of the next request of a user that the node handles. */
  void freezeAtUserRequest(String name, long micros) {
    processes.get(name).freezeAtNextUserRequest(micros);
  }

  /** The node that leads, or null; two may hold that they lead. */
  String leader() {
    return leaderOtherThan(null);
  }

  /** The leader, if it is not the given node: one that stands still may hold that it leads. */
  String leaderOtherThan(String node) {
    return Simulation.CONTROLLERS.stream()
        .filter(name -> !name.equals(node))
        .filter(name -> processes.get(name).leads())
        .findFirst()
        .orElse(null);
  }

  /** A node that does not lead. */
  String follower() {
    String leader = leader();
    return Simulation.CONTROLLERS.stream()
        .filter(node -> !node.equals(leader))
        .findFirst()
        .orElseThrow();
  }

  /** How many users' and workers' requests the node has answered with other than 5xx. */
  int non5xxResponsesOf(String node) {
    return processes.get(node).non5xxResponses;
  }

  // Events

  private void tick(ControllerProcess process, Controller core) {
    if (process.core == core) {
      handle(process, new Event.Tick());
      clock.in(
          50_000 + process.slowdownMicros(clock.now()) + random.nextInt(3_000),
          () -> tick(process, core));
    }
  }

  private void handle(ControllerProcess process, Event event) {
    Controller core = process.core;
    if (clock.now() < process.frozenUntil) {
      clock.at(
          process.frozenUntil,
          () -> {
            if (process.core == core) {
              handle(process, event);
            }
          });
      return;
    }
    List<Effect> effects = core.handle(process.monotonicMicros(clock.now()), event);
    effects.forEach(effect -> simulation.digest.add(clock.now(), process.name, effect));
    long freezeMicros = process.consumeFreeze(isUserRequest(event));
    if (freezeMicros > 0) {
      process.frozenUntil = clock.now() + freezeMicros;
      clock.at(process.frozenUntil, () -> simulation.delivery.execute(process, core, effects));
    } else {
      simulation.delivery.execute(process, core, effects);
    }
  }

  private static boolean isUserRequest(Event event) {
    return event instanceof Event.Request request && request.path().startsWith("/work");
  }

  /** A call got its reply, or none in time (status 0); only the first of them counts. */
  void onReply(ControllerProcess process, Controller core, long callId, int status, JsonNode body) {
    if (process.core == core && process.closeCall(callId)) {
      handle(process, new Event.Reply(callId, status, body));
    }
  }

  /** A request arrives at a node, where it may wait for a slow process. */
  void receive(String name, IncomingRequest request) {
    ControllerProcess process = processes.get(name);
    Controller core = process.core;
    if (core == null) {
      return;
    }
    long slowdown = process.slowdownMicros(clock.now());
    if (slowdown > 0) {
      clock.in(slowdown, () -> accept(process, core, request));
    } else {
      accept(process, core, request);
    }
  }

  private void accept(ControllerProcess process, Controller core, IncomingRequest request) {
    if (process.core == core) {
      long id = process.openRequest(request);
      handle(
          process,
          new Event.Request(
              id, request.source(), request.method(), request.path(), request.body()));
    }
  }

  // Requests of workers and users

  /** Sends a worker's or user's request to a node; a crashed node gives no answer. */
  void send(String from, String name, String method, String path, JsonNode body, Reply reply) {
    JsonNode sent = Simulation.copyThroughCodec(body);
    if (simulation.network.refused(from, name) || path.equals(unavailablePath)) {
      clock.in(1_000, () -> reply.send(503, null));
      return;
    }
    if (path.equals(HEARTBEAT_PATH)) {
      simulation.staleMessages.onHeartbeatSent(from, name, sent);
    }
    simulation.network.send(from, name, () -> arrive(from, name, method, path, sent, reply));
  }

  private void arrive(
      String from, String name, String method, String path, JsonNode body, Reply reply) {
    if (processes.get(name).core == null) {
      simulation.network.send(name, from, () -> reply.send(503, null));
      return;
    }
    Reply answered =
        (status, answer) -> simulation.network.send(name, from, () -> reply.send(status, answer));
    receive(name, new IncomingRequest(Event.Source.PUBLIC, method, path, body, answered));
  }
}
