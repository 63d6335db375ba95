package org.dewreach.sim;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * One fault drawn from the world's seeded random numbers. The target is drawn first, then the kind,
 * then the kind's own parameters; a change of that order changes what every seed plays.
 */
final class RandomFault {
  private static final long S = 1_000_000;

  /** No fault begins later, so that each run ends quietly. */
  private static final long LAST_START_MICROS = 170 * S;

  private final Simulation world;
  private final RandomGenerator random;
  private final String node;
  private final String leaderOrNode;
  private final List<SimWorker> workers;

  /** Null while there are no workers. */
  private final SimWorker worker;

  private final long now;

  /** Whether a cut connection holds messages up instead of losing them. */
  private final boolean hold;

  /** All kinds of faults. The index of each is part of what a seed plays. */
  private final List<Runnable> kinds =
      List.of(
          this::crashNode,
          this::crashAllNodes,
          this::stateOutage,
          this::refuseLeader,
          this::cutNodeFromState,
          this::cutNodeFromWorkers,
          this::cutNodeToPeers,
          this::hangWorker,
          this::takeWorker,
          this::recallWorker,
          this::sickWorker,
          this::cutNodesToWorker,
          this::isolateLeaderWithWorkers,
          this::partLeaderFromWorkers,
          this::cutZone,
          this::crashNodesInTurn,
          this::restartWorker,
          this::refuseConnectionsBetweenNodes,
          this::slowNode,
          this::hangManyWorkers,
          this::freezeNode,
          this::freezeLeader,
          this::freezeTwoNodes,
          this::dropReplies,
          this::muteWorkers,
          this::holdMessagesUp,
          this::changeLeaders,
          this::lateWrites,
          this::slowState,
          this::cancelJobs,
          this::cancelJobsAtTheirEnd,
          this::oddRequests,
          this::refuseLeaderThenOutage,
          this::twoFaults,
          this::cloudOutage);

  private RandomFault(Simulation world) {
    this.world = world;
    random = world.random;
    node = Simulation.NODES.get(random.nextInt(3));
    String leader = world.leading();
    leaderOrNode = leader == null ? node : leader;
    workers = world.workers();
    worker = workers.isEmpty() ? null : workers.get(random.nextInt(workers.size()));
    now = world.clock.now();
    hold = random.nextBoolean();
  }

  /** Draws a fault at the given time, and further ones until the middle of the run. */
  static void schedule(Simulation world, long at) {
    if (at > LAST_START_MICROS) {
      return;
    }
    world.clock.at(
        at,
        () -> {
          inject(world);
          schedule(world, at + (long) (world.random.nextDouble() * 20 * S) + S);
        });
  }

  private static void inject(Simulation world) {
    RandomFault fault = new RandomFault(world);
    fault.kinds.get(fault.random.nextInt(fault.kinds.size())).run();
  }

  private void crashNode() {
    world.crash(node, 200_000 + random.nextInt(8_000_000));
  }

  private void crashAllNodes() {
    Simulation.NODES.forEach(n -> world.crash(n, 200_000 + random.nextInt(8_000_000)));
  }

  private void stateOutage() {
    world.state.outage(5 * S + random.nextInt(20_000_000));
  }

  private void refuseLeader() {
    world.state.refuse(leaderOrNode, now + random.nextInt(15_000_000));
  }

  private void cutNodeFromState() {
    world.network.cut(node, "state", now + random.nextInt(20_000_000), hold);
    if (random.nextBoolean()) {
      world.network.cut("state", node, now + random.nextInt(20_000_000), hold);
    }
  }

  private void cutNodeFromWorkers() {
    for (SimWorker each : workers) {
      world.network.cut(each.name, node, now + 10 * S, hold);
      world.network.cut(node, each.name, now + 10 * S, hold);
    }
  }

  private void cutNodeToPeers() {
    Simulation.NODES.forEach(n -> world.network.cut(node, n, now + 12 * S, hold));
  }

  private void hangWorker() {
    if (worker != null) {
      worker.hang(random.nextInt(25_000_000));
    }
  }

  private void takeWorker() {
    if (worker != null) {
      world.cloud.take(worker.name);
    }
  }

  private void recallWorker() {
    if (worker != null) {
      worker.recall(8 * S);
      world.clock.in(8 * S, () -> world.cloud.take(worker.name));
    }
  }

  private void sickWorker() {
    if (worker != null) {
      worker.sick = true;
    }
  }

  /** Reports arrive, answers and commands do not. */
  private void cutNodesToWorker() {
    if (worker != null) {
      long until = now + random.nextInt(40_000_000);
      Simulation.NODES.forEach(n -> world.network.cut(n, worker.name, until, hold));
    }
  }

  /** A leader without the state service and the others, but with its workers. */
  private void isolateLeaderWithWorkers() {
    long until = now + 5 * S + random.nextInt(35_000_000);
    world.cutFromStateAndPeers(leaderOrNode, until, hold);
  }

  private void partLeaderFromWorkers() {
    long until = now + random.nextInt(30_000_000);
    workers.forEach(each -> world.network.part(leaderOrNode, each.name, until, hold));
  }

  /** A zone with the controllers in it, cut off from everything. */
  private void cutZone() {
    long until = now + 10 * S + random.nextInt(30_000_000);
    world.cutZone(random.nextBoolean() ? "a" : "b", until, hold);
  }

  /** Back at once, also in the middle of an election. */
  private void crashNodesInTurn() {
    for (int i = 0; i < 3; i++) {
      String next = Simulation.NODES.get(random.nextInt(3));
      world.clock.in(
          random.nextInt(3_000_000), () -> world.crash(next, 20_000 + random.nextInt(400_000)));
    }
  }

  private void restartWorker() {
    if (worker != null) {
      worker.restart();
    }
  }

  private void refuseConnectionsBetweenNodes() {
    long until = now + random.nextInt(30_000_000);
    for (String one : Simulation.NODES) {
      Simulation.NODES.forEach(other -> world.network.refuse(one, other, until));
    }
  }

  private void slowNode() {
    world.slow(node, now + random.nextInt(25_000_000), 200_000 + random.nextInt(800_000));
  }

  private void hangManyWorkers() {
    for (SimWorker each : workers) {
      if (random.nextBoolean()) {
        each.hang(random.nextInt(25_000_000));
      }
    }
  }

  private void freezeNode() {
    world.freeze(node, random.nextInt(30_000_000));
  }

  private void freezeLeader() {
    world.freeze(leaderOrNode, 1 * S + random.nextInt(29_000_000));
  }

  /** Two at once, perhaps with the state service down. */
  private void freezeTwoNodes() {
    world.freeze(node, 1 * S + random.nextInt(20_000_000));
    world.freeze(Simulation.NODES.get(random.nextInt(3)), 1 * S + random.nextInt(20_000_000));
    if (random.nextBoolean()) {
      world.state.outage(random.nextInt(20_000_000));
    }
  }

  private void dropReplies() {
    world.dropRepliesTo(world.some(500), now + random.nextInt(25_000_000));
  }

  private void muteWorkers() {
    world.mute(world.some(500), now + random.nextInt(25_000_000));
  }

  /** Commands and answers are held up for seconds, while machines hang and go on. */
  private void holdMessagesUp() {
    world.network.heldUp = 0.2;
    world.some(300).forEach(each -> each.hang(random.nextInt(9_000_000)));
    world.clock.in(12 * S, () -> world.network.heldUp = 0);
  }

  private void changeLeaders() {
    world.changeLeaders(3, 9 * S);
  }

  private void lateWrites() {
    world.state.lateWrites(100 + random.nextInt(400), now + random.nextInt(25_000_000));
  }

  private void slowState() {
    world.state.slow(now + random.nextInt(25_000_000));
  }

  private void cancelJobs() {
    world.users.cancelNow(1 + random.nextInt(8), random.nextInt(10_000_000));
  }

  private void cancelJobsAtTheirEnd() {
    world.users.cancelAtEnd(500, now + random.nextInt(30_000_000));
  }

  private void oddRequests() {
    world.users.oddRequests(now + random.nextInt(30_000_000));
  }

  /** The leader alone is refused, and a moment later everybody. */
  private void refuseLeaderThenOutage() {
    world.state.refuse(leaderOrNode, now + random.nextInt(35_000_000));
    long lasts = 5 * S + random.nextInt(25_000_000);
    world.clock.in(random.nextInt(5_000_000), () -> world.state.outage(lasts));
  }

  private void twoFaults() {
    inject(world);
    world.clock.in(random.nextInt(3_000_000), () -> inject(world));
  }

  private void cloudOutage() {
    world.cloud.outage(random.nextInt(15_000_000));
  }
}
