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

/** The controllers' processes: starts, ends and freezes them, and passes events to their cores. */
final class SimControllers {
  private static final String HEARTBEAT_PATH = "/hello";

  private final Simulation simulation;
  private final Clock clock;
  private final Random random;
  private final Map<String, SimController> processes = new HashMap<>();

  /** The path for which all controllers answer 503; null for none. */
  String unavailablePath;

  SimControllers(Simulation simulation, double quotaFactor) {
    this.simulation = simulation;
    this.clock = simulation.clock;
    this.random = simulation.random;
    for (String name : Simulation.CONTROLLERS) {
      processes.put(
          name, new SimController(name, SimulationSettings.of(name, quotaFactor, simulation.size)));
    }
  }

  // Processes

  /** Starts the controller's process if it is down. */
  void start(String name) {
    SimController process = processes.get(name);
    if (process.core != null) {
      return;
    }
    process.frozenUntil = 0;
    process.startedAt = clock.now();
    process.clockRate = 1 + random.nextDouble() * 0.0005;
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

  /** Ends the controller's process and starts a new one after the given time. */
  void crash(String name, long backAfterMicros) {
    processes.get(name).end();
    if (simulation.loadBalancer != null) {
      simulation.loadBalancer.onProcessEnded(name);
    }
    clock.in(backAfterMicros, () -> start(name));
  }

  /** True if the controller's process is up. */
  boolean isUp(String name) {
    return processes.get(name).core != null;
  }

  /** Slows the controller down: each event that it handles is delayed. */
  void slow(String name, long untilMicros, long byMicros) {
    processes.get(name).slow(untilMicros, byMicros);
  }

  /**
   * Freezes the controller in the middle of the next event that it handles, while its clocks run
   * on. The effects of that event are executed after the freeze, and later events wait for its end.
   */
  void freeze(String name, long micros) {
    processes.get(name).freezeAtNextEvent(micros);
  }

  /** Freezes the controller in the middle of the next user request that it handles. */
  void freezeAtUserRequest(String name, long micros) {
    processes.get(name).freezeAtNextUserRequest(micros);
  }

  /** Returns the leader, or null; the first in name order if two consider themselves the leader. */
  String leader() {
    return leaderOtherThan(null);
  }

  /** Returns the leader other than the given one: a frozen leader may still consider itself one. */
  String leaderOtherThan(String controller) {
    return Simulation.CONTROLLERS.stream()
        .filter(name -> !name.equals(controller))
        .filter(name -> processes.get(name).leads())
        .findFirst()
        .orElse(null);
  }

  /** Returns a controller that is not the leader. */
  String follower() {
    String leader = leader();
    return Simulation.CONTROLLERS.stream()
        .filter(controller -> !controller.equals(leader))
        .findFirst()
        .orElseThrow();
  }

  /** Returns the number of responses of the controller with a status below 500. */
  int non5xxResponsesOf(String controller) {
    return processes.get(controller).non5xxResponses;
  }

  // Events

  private void tick(SimController process, Controller core) {
    if (process.core == core) {
      handle(process, new Event.Tick());
      clock.in(
          50_000 + process.slowdownMicros(clock.now()) + random.nextInt(3_000),
          () -> tick(process, core));
    }
  }

  private void handle(SimController process, Event event) {
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

  /** Handles the reply to a call or its timeout (status 0), whichever is first. */
  void onReply(SimController process, Controller core, long callId, int status, JsonNode body) {
    if (process.core == core && process.closeCall(callId)) {
      handle(process, new Event.Reply(callId, status, body));
    }
  }

  /** Delivers a request to a controller, with a delay if its process is slow. */
  void receive(String name, IncomingRequest request) {
    SimController process = processes.get(name);
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

  private void accept(SimController process, Controller core, IncomingRequest request) {
    if (process.core == core) {
      long id = process.openRequest(request);
      handle(
          process,
          new Event.Request(
              id, request.source(), request.method(), request.path(), request.body()));
    }
  }

  // Requests of workers and users

  /** Sends a worker's or user's request to a controller; one that is down answers 503. */
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
        (status, response) ->
            simulation.network.send(name, from, () -> reply.send(status, response));
    receive(name, new IncomingRequest(Event.Source.PUBLIC, method, path, body, answered));
  }
}
