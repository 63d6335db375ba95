package org.dewreach.sim;

import java.util.List;
import java.util.Random;

/**
 * Faults of several links or controllers at once, built from those of the network and processes.
 */
final class ClusterFaults {
  private static final List<String> EXTERNAL_HOSTS = List.of("state", "cloud", "user");

  private final Simulation simulation;
  private final Network network;
  private final Random random;

  ClusterFaults(Simulation simulation) {
    this.simulation = simulation;
    this.network = simulation.network;
    this.random = simulation.random;
  }

  /** Cuts a zone off from everything, with its workers and controllers. */
  void partitionZone(String zone, long untilMicros, boolean hold) {
    for (String node : Simulation.CONTROLLERS) {
      boolean inside = Simulation.zoneOf(node).equals(zone);
      for (SimWorker worker : simulation.workers()) {
        if (worker.zone.equals(zone) != inside) {
          network.partition(worker.name, node, untilMicros, hold);
        }
      }
      if (inside) {
        partitionControllerOfZone(node, zone, untilMicros, hold);
      }
    }
  }

  private void partitionControllerOfZone(String node, String zone, long untilMicros, boolean hold) {
    for (String other : Simulation.CONTROLLERS) {
      if (!Simulation.zoneOf(other).equals(zone)) {
        network.partition(node, other, untilMicros, hold);
      }
    }
    for (String outside : EXTERNAL_HOSTS) {
      network.partition(node, outside, untilMicros, hold);
    }
  }

  /** Cuts a controller off from everything: what is sent is lost. */
  void partitionController(String node, long untilMicros) {
    for (SimWorker worker : simulation.workers()) {
      network.partition(worker.name, node, untilMicros, false);
    }
    EXTERNAL_HOSTS.forEach(outside -> network.partition(node, outside, untilMicros, false));
    partitionFromPeers(node, untilMicros, false);
  }

  /** The node loses the state service and its peers, not its workers or users. */
  void partitionFromStateAndPeers(String node, long untilMicros, boolean hold) {
    network.partition(node, "state", untilMicros, hold);
    partitionFromPeers(node, untilMicros, hold);
  }

  private void partitionFromPeers(String node, long untilMicros, boolean hold) {
    for (String other : Simulation.CONTROLLERS) {
      if (!other.equals(node)) {
        network.partition(node, other, untilMicros, hold);
      }
    }
  }

  /** Cuts these machines off from every controller: what is sent is lost. */
  void partitionWorkers(List<SimWorker> workers, long untilMicros) {
    for (SimWorker worker : workers) {
      for (String node : Simulation.CONTROLLERS) {
        network.partition(worker.name, node, untilMicros, false);
      }
    }
  }

  /** Heartbeats of these machines arrive; answers and direct commands to them are lost. */
  void dropRepliesTo(List<SimWorker> workers, long untilMicros) {
    for (SimWorker worker : workers) {
      Simulation.CONTROLLERS.forEach(node -> network.cut(node, worker.name, untilMicros, false));
    }
  }

  /** These machines reach no controller, while direct commands reach them. */
  void refuseRequestsFrom(List<SimWorker> workers, long untilMicros) {
    for (SimWorker worker : workers) {
      Simulation.CONTROLLERS.forEach(node -> network.refuse(worker.name, node, untilMicros));
    }
  }

  /** The leader ends, stands still, or loses the state service, again and again. */
  void forceLeaderChanges(int times, long everyMicros) {
    String leader = simulation.controllers.leader();
    if (leader != null) {
      disruptLeader(leader);
    }
    if (times > 1) {
      simulation.clock.in(
          everyMicros * 3 / 4 + random.nextLong(everyMicros / 2),
          () -> forceLeaderChanges(times - 1, everyMicros));
    }
  }

  private void disruptLeader(String leader) {
    long until = simulation.clock.now() + 3_000_000 + random.nextInt(5_000_000);
    switch (random.nextInt(4)) {
      case 0 -> simulation.controllers.crash(leader, 20_000 + random.nextInt(4_000_000));
      case 1 -> simulation.state.refuse(leader, until);
      case 2 -> simulation.controllers.freeze(leader, 3_000_000 + random.nextInt(4_000_000));
      default -> partitionFromStateAndPeers(leader, until, random.nextBoolean());
    }
  }

  /** Some of the machines that are up, each with the chance given in thousandths. */
  List<SimWorker> randomWorkers(int share) {
    return simulation.workers().stream().filter(worker -> random.nextInt(1000) < share).toList();
  }
}
