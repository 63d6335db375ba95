package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;

import java.util.List;
import java.util.Random;

/**
 * A random fault that lasts longer than the 90 s for which all queries about a job may fail, drawn
 * from the simulation's seeded random numbers.
 */
final class LongFault {
  private static final long MIN_DURATION_MICROS = 95 * SECOND;
  private static final int DURATION_SPREAD_MICROS = 30_000_000;

  private final Simulation simulation;
  private final String leaderOrController;
  private final String controller;
  private final long durationMicros;
  private final long until;
  private final boolean hold;

  /** All kinds of faults. A change of their order changes the run of every seed. */
  private final List<Runnable> kinds =
      List.of(
          this::isolateLeader,
          this::isolateController,
          this::cutControllerFromStoreAndLeader,
          this::partitionZone,
          this::refuseLeader,
          this::crashController,
          this::freezeController,
          this::cutControllerFromStore,
          this::refuseConnectionsBetweenControllers);

  private LongFault(Simulation simulation) {
    this.simulation = simulation;
    Random random = simulation.random;
    controller = Simulation.CONTROLLERS.get(random.nextInt(3));
    String leader = simulation.controllers.leader();
    leaderOrController = leader == null ? controller : leader;
    durationMicros = MIN_DURATION_MICROS + random.nextInt(DURATION_SPREAD_MICROS);
    until = simulation.clock.now() + durationMicros;
    hold = random.nextBoolean();
  }

  /** Returns the latest end of a fault that is injected at the given time. */
  static long endsBy(long at) {
    return at + MIN_DURATION_MICROS + DURATION_SPREAD_MICROS;
  }

  /** Injects a fault at the given time. */
  static void schedule(Simulation simulation, long at) {
    simulation.clock.at(
        at,
        () -> {
          LongFault fault = new LongFault(simulation);
          fault.kinds.get(simulation.random.nextInt(fault.kinds.size())).run();
        });
  }

  private void isolateLeader() {
    simulation.faults.partitionFromStoreAndPeers(leaderOrController, until, hold);
  }

  private void isolateController() {
    simulation.faults.partitionFromStoreAndPeers(controller, until, hold);
  }

  private void cutControllerFromStoreAndLeader() {
    simulation.network.partition(controller, "state", until, hold);
    simulation.network.partition(controller, leaderOrController, until, hold);
  }

  private void partitionZone() {
    simulation.faults.partitionZone(simulation.random.nextBoolean() ? "a" : "b", until, hold);
  }

  private void refuseLeader() {
    simulation.store.refuse(leaderOrController, until);
  }

  private void crashController() {
    simulation.controllers.crash(leaderOrController, durationMicros);
  }

  private void freezeController() {
    simulation.controllers.freeze(leaderOrController, durationMicros);
  }

  private void cutControllerFromStore() {
    simulation.network.partition(controller, "state", until, hold);
  }

  private void refuseConnectionsBetweenControllers() {
    for (String one : Simulation.CONTROLLERS) {
      Simulation.CONTROLLERS.forEach(other -> simulation.network.refuse(one, other, until));
    }
  }
}
