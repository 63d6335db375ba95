package org.dewreach.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A simulated load balancer that works at connection level: it probes the readiness of the
 * controllers, assigns each new connection to a healthy one, and resets the connections to a
 * controller that has been unhealthy for a while.
 */
final class SimLoadBalancer {
  private static final long PROBE_INTERVAL_MICROS = Clock.SECOND;
  private static final long PROBE_TIMEOUT_MICROS = Clock.SECOND;
  private static final long RESET_AFTER_MICROS = 5 * Clock.SECOND;
  private static final long FIRST_RETURN_PAUSE_MICROS = 3 * Clock.SECOND;
  private static final long MAX_RETURN_PAUSE_MICROS = 60 * Clock.SECOND;
  private static final long REMOVALS_COUNT_FOR_MICROS = 120 * Clock.SECOND;
  private static final int CONSIDERED_PROBES = 6;
  private static final int MAX_FAILED_PROBES = 2;

  /** The health of one controller as the probes show it. */
  private static final class Backend {
    final Deque<Boolean> probes = new ArrayDeque<>();
    final Deque<Long> removals = new ArrayDeque<>();
    boolean healthy;
    boolean everHealthy;
    long unhealthySince;
    long returnNotBefore;

    void record(boolean success, long now) {
      probes.addLast(success);
      if (probes.size() > CONSIDERED_PROBES) {
        probes.removeFirst();
      }
      if (healthy && hasFailed()) {
        remove(now);
      } else if (!healthy && mayReturn(now)) {
        healthy = true;
        everHealthy = true;
        probes.clear();
      }
    }

    private boolean hasFailed() {
      long failed = probes.stream().filter(success -> !success).count();
      return failed > MAX_FAILED_PROBES || lastTwoAre(false);
    }

    private boolean mayReturn(long now) {
      return everHealthy ? now >= returnNotBefore && lastTwoAre(true) : probes.getLast();
    }

    private boolean lastTwoAre(boolean success) {
      List<Boolean> all = List.copyOf(probes);
      int count = all.size();
      return count >= 2 && all.get(count - 1) == success && all.get(count - 2) == success;
    }

    private void remove(long now) {
      healthy = false;
      unhealthySince = now;
      removals.removeIf(at -> at < now - REMOVALS_COUNT_FOR_MICROS);
      returnNotBefore =
          now + Math.min(MAX_RETURN_PAUSE_MICROS, FIRST_RETURN_PAUSE_MICROS << removals.size());
      removals.addLast(now);
      probes.clear();
    }

    boolean resetsConnections(long now) {
      return everHealthy && !healthy && now - unhealthySince >= RESET_AFTER_MICROS;
    }
  }

  private final Simulation simulation;
  private final Clock clock;
  private final Map<String, Backend> backends = new HashMap<>();

  /** The controller to which each connection leads, by the name of its user. */
  private final Map<String, String> connections = new HashMap<>();

  /** The number of connections that were reset because their controller was unhealthy. */
  int resetConnections;

  /** Creates a load balancer that begins to probe at once. */
  SimLoadBalancer(Simulation simulation) {
    this.simulation = simulation;
    this.clock = simulation.clock;
    for (String controller : Simulation.CONTROLLERS) {
      backends.put(controller, new Backend());
      probe(controller);
    }
  }

  private void probe(String controller) {
    AtomicBoolean closed = new AtomicBoolean();
    simulation.controllers.send(
        "user",
        controller,
        "GET",
        "/ready",
        null,
        (status, body) -> onProbe(controller, closed, status == 200));
    clock.in(PROBE_TIMEOUT_MICROS, () -> onProbe(controller, closed, false));
    clock.in(PROBE_INTERVAL_MICROS, () -> probe(controller));
  }

  private void onProbe(String controller, AtomicBoolean closed, boolean success) {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    Backend backend = backends.get(controller);
    backend.record(success, clock.now());
    if (backend.resetsConnections(clock.now())) {
      int before = connections.size();
      connections.values().removeIf(controller::equals);
      resetConnections += before - connections.size();
    }
  }

  boolean isHealthy(String controller) {
    return backends.get(controller).healthy;
  }

  /** Returns the number of open connections to the controller. */
  long connectionsTo(String controller) {
    return connections.values().stream().filter(controller::equals).count();
  }

  /** Ends the connections to a controller whose process has ended. */
  void onProcessEnded(String controller) {
    connections.values().removeIf(controller::equals);
  }

  /**
   * Returns the controller to which the user's connection leads; opens one, to a healthy controller
   * that is up, if the user has none. Returns null if there is no such controller.
   */
  String controllerOf(String user) {
    return connections.computeIfAbsent(user, name -> leastConnected());
  }

  /** Returns the healthy controller with the fewest connections that accepts one, or null. */
  private String leastConnected() {
    String best = null;
    for (String controller : Simulation.CONTROLLERS) {
      if (isHealthy(controller)
          && simulation.controllers.isUp(controller)
          && (best == null || connectionsTo(controller) < connectionsTo(best))) {
        best = controller;
      }
    }
    return best;
  }
}
