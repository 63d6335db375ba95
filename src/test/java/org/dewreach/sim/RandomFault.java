package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * One fault drawn from the simulation's seeded random numbers. The target is drawn first, then the
 * kind, then the kind's own parameters; a change of that order changes what every seed plays.
 */
final class RandomFault {
  /** No fault begins later, so that each run ends quietly. */
  private static final long LAST_START_MICROS = 170 * SECOND;

  private final Simulation simulation;
  private final RandomGenerator random;
  private final String controller;
  private final String leaderOrController;
  private final List<SimWorker> workers;

  /** Null while there are no workers. */
  private final SimWorker worker;

  private final long now;

  /** Whether a cut connection holds messages up instead of losing them. */
  private final boolean hold;

  /** All kinds of faults. The index of each is part of what a seed plays. */
  private final List<Runnable> kinds =
      List.of(
          this::crashController,
          this::crashAllControllers,
          this::stateOutage,
          this::refuseLeader,
          this::cutControllerFromState,
          this::cutControllerFromWorkers,
          this::cutControllerToPeers,
          this::hangWorker,
          this::terminateMachine,
          this::reclaimMachine,
          this::failTasksOnWorker,
          this::cutControllersToWorker,
          this::isolateLeaderWithWorkers,
          this::partitionLeaderFromWorkers,
          this::partitionZone,
          this::crashControllersInTurn,
          this::restartWorker,
          this::refuseConnectionsBetweenControllers,
          this::slowController,
          this::hangManyWorkers,
          this::freezeController,
          this::freezeLeader,
          this::freezeTwoControllers,
          this::dropReplies,
          this::refuseWorkerRequests,
          this::delayMessages,
          this::forceLeaderChanges,
          this::delayTransactions,
          this::slowState,
          this::cancelJobs,
          this::cancelJobsAsTheyEnd,
          this::sendInvalidRequests,
          this::refuseLeaderThenOutage,
          this::twoFaults,
          this::cloudOutage);

  private RandomFault(Simulation simulation) {
    this.simulation = simulation;
    random = simulation.random;
    controller = Simulation.CONTROLLERS.get(random.nextInt(3));
    String leader = simulation.controllers.leader();
    leaderOrController = leader == null ? controller : leader;
    workers = simulation.workers();
    worker = workers.isEmpty() ? null : workers.get(random.nextInt(workers.size()));
    now = simulation.clock.now();
    hold = random.nextBoolean();
  }

  /** Draws a fault at the given time, and further ones until the middle of the run. */
  static void schedule(Simulation simulation, long at) {
    if (at > LAST_START_MICROS) {
      return;
    }
    simulation.clock.at(
        at,
        () -> {
          inject(simulation);
          schedule(simulation, at + (long) (simulation.random.nextDouble() * 20 * SECOND) + SECOND);
        });
  }

  private static void inject(Simulation simulation) {
    RandomFault fault = new RandomFault(simulation);
    fault.kinds.get(fault.random.nextInt(fault.kinds.size())).run();
  }

  private void crashController() {
    simulation.controllers.crash(controller, 200_000 + random.nextInt(8_000_000));
  }

  private void crashAllControllers() {
    Simulation.CONTROLLERS.forEach(
        n -> simulation.controllers.crash(n, 200_000 + random.nextInt(8_000_000)));
  }

  private void stateOutage() {
    simulation.state.outage(5 * SECOND + random.nextInt(20_000_000));
  }

  private void refuseLeader() {
    simulation.state.refuse(leaderOrController, now + random.nextInt(15_000_000));
  }

  private void cutControllerFromState() {
    simulation.network.cut(controller, "state", now + random.nextInt(20_000_000), hold);
    if (random.nextBoolean()) {
      simulation.network.cut("state", controller, now + random.nextInt(20_000_000), hold);
    }
  }

  private void cutControllerFromWorkers() {
    for (SimWorker each : workers) {
      simulation.network.cut(each.name, controller, now + 10 * SECOND, hold);
      simulation.network.cut(controller, each.name, now + 10 * SECOND, hold);
    }
  }

  private void cutControllerToPeers() {
    Simulation.CONTROLLERS.forEach(
        n -> simulation.network.cut(controller, n, now + 12 * SECOND, hold));
  }

  private void hangWorker() {
    if (worker != null) {
      worker.hang(random.nextInt(25_000_000));
    }
  }

  private void terminateMachine() {
    if (worker != null) {
      simulation.cloud.terminate(worker.name);
    }
  }

  private void reclaimMachine() {
    if (worker != null) {
      worker.announceReclaim(8 * SECOND);
      simulation.clock.in(8 * SECOND, () -> simulation.cloud.terminate(worker.name));
    }
  }

  private void failTasksOnWorker() {
    if (worker != null) {
      worker.failsAllTasks = true;
    }
  }

  /** Reports arrive, answers and commands do not. */
  private void cutControllersToWorker() {
    if (worker != null) {
      long until = now + random.nextInt(40_000_000);
      Simulation.CONTROLLERS.forEach(n -> simulation.network.cut(n, worker.name, until, hold));
    }
  }

  /** A leader without the state service and the others, but with its workers. */
  private void isolateLeaderWithWorkers() {
    long until = now + 5 * SECOND + random.nextInt(35_000_000);
    simulation.faults.partitionFromStateAndPeers(leaderOrController, until, hold);
  }

  private void partitionLeaderFromWorkers() {
    long until = now + random.nextInt(30_000_000);
    workers.forEach(
        each -> simulation.network.partition(leaderOrController, each.name, until, hold));
  }

  /** A zone with the controllers in it, cut off from everything. */
  private void partitionZone() {
    long until = now + 10 * SECOND + random.nextInt(30_000_000);
    simulation.faults.partitionZone(random.nextBoolean() ? "a" : "b", until, hold);
  }

  /** Back at once, also in the middle of an election. */
  private void crashControllersInTurn() {
    for (int i = 0; i < 3; i++) {
      String next = Simulation.CONTROLLERS.get(random.nextInt(3));
      simulation.clock.in(
          random.nextInt(3_000_000),
          () -> simulation.controllers.crash(next, 20_000 + random.nextInt(400_000)));
    }
  }

  private void restartWorker() {
    if (worker != null) {
      worker.restart();
    }
  }

  private void refuseConnectionsBetweenControllers() {
    long until = now + random.nextInt(30_000_000);
    for (String one : Simulation.CONTROLLERS) {
      Simulation.CONTROLLERS.forEach(other -> simulation.network.refuse(one, other, until));
    }
  }

  private void slowController() {
    simulation.controllers.slow(
        controller, now + random.nextInt(25_000_000), 200_000 + random.nextInt(800_000));
  }

  private void hangManyWorkers() {
    for (SimWorker each : workers) {
      if (random.nextBoolean()) {
        each.hang(random.nextInt(25_000_000));
      }
    }
  }

  private void freezeController() {
    simulation.controllers.freeze(controller, random.nextInt(30_000_000));
  }

  private void freezeLeader() {
    simulation.controllers.freeze(leaderOrController, 1 * SECOND + random.nextInt(29_000_000));
  }

  /** Two at once, perhaps with the state service down. */
  private void freezeTwoControllers() {
    simulation.controllers.freeze(controller, 1 * SECOND + random.nextInt(20_000_000));
    simulation.controllers.freeze(
        Simulation.CONTROLLERS.get(random.nextInt(3)), 1 * SECOND + random.nextInt(20_000_000));
    if (random.nextBoolean()) {
      simulation.state.outage(random.nextInt(20_000_000));
    }
  }

  private void dropReplies() {
    simulation.faults.dropRepliesTo(
        simulation.faults.randomWorkers(500), now + random.nextInt(25_000_000));
  }

  private void refuseWorkerRequests() {
    simulation.faults.refuseRequestsFrom(
        simulation.faults.randomWorkers(500), now + random.nextInt(25_000_000));
  }

  /** Commands and answers are held up for seconds, while machines hang and go on. */
  private void delayMessages() {
    simulation.network.delayRate = 0.2;
    simulation.faults.randomWorkers(300).forEach(each -> each.hang(random.nextInt(9_000_000)));
    simulation.clock.in(12 * SECOND, () -> simulation.network.delayRate = 0);
  }

  private void forceLeaderChanges() {
    simulation.faults.forceLeaderChanges(3, 9 * SECOND);
  }

  private void delayTransactions() {
    simulation.state.delayTransactions(100 + random.nextInt(400), now + random.nextInt(25_000_000));
  }

  private void slowState() {
    simulation.state.slow(now + random.nextInt(25_000_000));
  }

  private void cancelJobs() {
    simulation.users.cancelRunningJobs(1 + random.nextInt(8), random.nextInt(10_000_000));
  }

  private void cancelJobsAsTheyEnd() {
    simulation.users.cancelJobsAsTheyEnd(500, now + random.nextInt(30_000_000));
  }

  private void sendInvalidRequests() {
    simulation.users.sendInvalidRequests(now + random.nextInt(30_000_000));
  }

  /** The leader alone is refused, and a moment later everybody. */
  private void refuseLeaderThenOutage() {
    simulation.state.refuse(leaderOrController, now + random.nextInt(35_000_000));
    long lasts = 5 * SECOND + random.nextInt(25_000_000);
    simulation.clock.in(random.nextInt(5_000_000), () -> simulation.state.outage(lasts));
  }

  private void twoFaults() {
    inject(simulation);
    simulation.clock.in(random.nextInt(3_000_000), () -> inject(simulation));
  }

  private void cloudOutage() {
    simulation.cloud.outage(random.nextInt(15_000_000));
  }
}
