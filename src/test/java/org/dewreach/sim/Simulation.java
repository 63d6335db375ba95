package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.dewreach.config.Settings;
import org.dewreach.wire.Codec;

/** A simulated cluster with three controllers, determined by one seed. */
final class Simulation {
  /** The names of the controllers. */
  static final List<String> CONTROLLERS = List.of("n0", "n1", "n2");

  final Random random;
  final Clock clock = new Clock();
  final ClusterSize size;
  final Settings settings;
  final Network network;
  final Checker checker;
  final SimKeyValueStore store;
  final SimCloud cloud;
  final UserRequests requests;
  final SimUsers users;
  final EffectDelivery delivery;
  final StaleMessages staleMessages;
  final ClusterFaults faults;
  final SimControllers controllers;
  final WorkerDefects workerDefects = new WorkerDefects();

  /** Assigns users' connections; null if users send each request to a random controller. */
  SimLoadBalancer loadBalancer;

  /** The number of expired worker leases. */
  int expiredWorkerLeases;

  /** The digest of all effects of the controllers so far. */
  final EffectDigest digest = new EffectDigest();

  Simulation(long seed) {
    this(seed, 1);
  }

  Simulation(long seed, double quotaFactor) {
    this(seed, quotaFactor, ClusterSize.SMALL);
  }

  /**
   * Creates a cluster whose controllers run from time 0.
   *
   * @param quotaFactor the factor by which the quota of team red in the controllers' settings
   *     differs from the correct one; 1 for correct settings
   */
  Simulation(long seed, double quotaFactor, ClusterSize size) {
    this.size = size;
    this.random = new Random(seed);
    this.settings = SimulationSettings.of("n0", 1, size);
    this.network = new Network(clock, random);
    this.checker = new Checker(clock, settings);
    this.store = new SimKeyValueStore(clock, random, size);
    this.cloud = new SimCloud(this);
    this.requests = new UserRequests(this);
    this.users = new SimUsers(this);
    this.delivery = new EffectDelivery(this, new Random(~seed));
    this.staleMessages = new StaleMessages(this);
    this.faults = new ClusterFaults(this);
    this.controllers = new SimControllers(this, quotaFactor);
    checker.workers = this::workers;
    checker.onAllTasksCompleted = users::onAllTasksCompleted;
    checker.onJobStateReported = users::onJobStateReported;
    CONTROLLERS.forEach(controllers::start);
  }

  /** From now on users keep connections, which a load balancer assigns to healthy controllers. */
  void keepUserConnections() {
    loadBalancer = new SimLoadBalancer(this);
  }

  /** Returns the zone of a controller: two controllers are in zone a, the third in zone b. */
  static String zoneOf(String controller) {
    return controller.equals("n2") ? "b" : "a";
  }

  /**
   * Returns a copy made through the wire format, so that sender and receiver share no objects and
   * every message is shown to be encodable.
   */
  static JsonNode copyThroughCodec(JsonNode body) {
    if (body == null) {
      return null;
    }
    try {
      return Codec.read(Codec.write(body));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the workers of the machines that are up. */
  List<SimWorker> workers() {
    return new ArrayList<>(cloud.workers.values());
  }

  /** Makes the machines that fail all tasks work again. */
  void repairMachines() {
    workers().forEach(worker -> worker.failsAllTasks = false);
  }

  /** True if no team with a finite quota may run another task of one CPU. */
  boolean teamsAtQuota() {
    Map<String, Double> used = new HashMap<>();
    workers().forEach(worker -> worker.addCpuUse(used));
    return settings.teams().values().stream()
        .filter(team -> Double.isFinite(team.cpuQuota()))
        .allMatch(team -> used.getOrDefault(team.name(), 0.0) + 1 > team.cpuQuota() + 1e-6);
  }

  /** Runs until the given time, or until a rule is violated. */
  void runUntil(long untilMicros) {
    while (clock.step(untilMicros)) {
      if (!checker.violations.isEmpty()) {
        return;
      }
    }
  }

  /** Starts to submit random jobs until the given time, and to run the checker periodically. */
  void startWorkload(long untilMicros, long everyMicros) {
    submitRandomJobs(untilMicros, everyMicros);
    checkPeriodically();
  }

  private void submitRandomJobs(long untilMicros, long everyMicros) {
    if (clock.now() < untilMicros) {
      users.submitRandomJob();
      if (random.nextInt(5) == 0) {
        requests.queryUnknownJob();
      }
      clock.in(
          everyMicros / 2 + random.nextLong(everyMicros),
          () -> submitRandomJobs(untilMicros, everyMicros));
    }
  }

  private void checkPeriodically() {
    checker.checkDeadlines();
    clock.in(500_000, this::checkPeriodically);
  }
}
