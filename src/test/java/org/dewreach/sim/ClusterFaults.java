package org.dewreach.sim;

import java.util.List;
import java.util.Random;

/**
 * Faults that affect several links or controllers at once, composed of the faults of single links
 * and processes.
 */
final class ClusterFaults {
  /** The key-value store, the cloud and the users, by their names in the network. */
  private static final List<String> EXTERNAL_HOSTS = List.of("state", "cloud", "user");

  private final Simulation simulation;
  private final Network network;
  private final Random random;

  ClusterFaults(Simulation simulation) {
    this.simulation = simulation;
    this.network = simulation.network;
    this.random = simulation.random;
  }

  /**
   * Partitions a zone, with its workers and controllers, from the other zone and all external
   * hosts.
   *
   * @param hold true if messages are delivered after the partition, false if they are lost
   */
  void partitionZone(String zone, long untilMicros, boolean hold) {
    for (String controller : Simulation.CONTROLLERS) {
      boolean inside = Simulation.zoneOf(controller).equals(zone);
      for (SimWorker worker : simulation.workers()) {
        if (worker.zone.equals(zone) != inside) {
          network.partition(worker.name, controller, untilMicros, hold);
        }
      }
      if (inside) {
        partitionControllerOfZone(controller, zone, untilMicros, hold);
      }
    }
  }

  private void partitionControllerOfZone(
      String controller, String zone, long untilMicros, boolean hold) {
    for (String other : Simulation.CONTROLLERS) {
      if (!Simulation.zoneOf(other).equals(zone)) {
        network.partition(controller, other, untilMicros, hold);
      }
    }
    for (String external : EXTERNAL_HOSTS) {
      network.partition(controller, external, untilMicros, hold);
    }
  }

  /** Partitions a controller from all other hosts; messages are lost. */
  void partitionController(String controller, long untilMicros) {
    for (SimWorker worker : simulation.workers()) {
      network.partition(worker.name, controller, untilMicros, false);
    }
    EXTERNAL_HOSTS.forEach(external -> network.partition(controller, external, untilMicros, false));
    partitionFromPeers(controller, untilMicros, false);
  }

  /**
   * Partitions a controller from the key-value store and its peers, but not from workers and users.
   */
  void partitionFromStoreAndPeers(String controller, long untilMicros, boolean hold) {
    network.partition(controller, "state", untilMicros, hold);
    partitionFromPeers(controller, untilMicros, hold);
  }

  /**
   * Begins an outage in which the key-value store gives no responses. Its leases have their full
   * time again when the outage ends.
   */
  void silenceStore(long micros) {
    long untilMicros = simulation.clock.now() + micros;
    Simulation.CONTROLLERS.forEach(
        controller -> network.partition(controller, "state", untilMicros, false));
    simulation.store.outage(micros);
  }

  private void partitionFromPeers(String controller, long untilMicros, boolean hold) {
    for (String other : Simulation.CONTROLLERS) {
      if (!other.equals(controller)) {
        network.partition(controller, other, untilMicros, hold);
      }
    }
  }

  /** Partitions these workers from all controllers; messages are lost. */
  void partitionWorkers(List<SimWorker> workers, long untilMicros) {
    for (SimWorker worker : workers) {
      for (String controller : Simulation.CONTROLLERS) {
        network.partition(worker.name, controller, untilMicros, false);
      }
    }
  }

  /** Drops the responses and direct commands to these workers; their heartbeats arrive. */
  void dropRepliesTo(List<SimWorker> workers, long untilMicros) {
    for (SimWorker worker : workers) {
      Simulation.CONTROLLERS.forEach(
          controller -> network.cut(controller, worker.name, untilMicros, false));
    }
  }

  /** Refuses connections from these workers to all controllers; direct commands reach them. */
  void refuseRequestsFrom(List<SimWorker> workers, long untilMicros) {
    for (SimWorker worker : workers) {
      Simulation.CONTROLLERS.forEach(
          controller -> network.refuse(worker.name, controller, untilMicros));
    }
  }

  /** Repeatedly crashes or freezes the leader, or disconnects it from the key-value store. */
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
      case 1 -> simulation.store.refuse(leader, until);
      case 2 -> simulation.controllers.freeze(leader, 3_000_000 + random.nextInt(4_000_000));
      default -> partitionFromStoreAndPeers(leader, until, random.nextBoolean());
    }
  }

  /**
   * Returns a random selection of the workers that are up.
   *
   * @param share the probability of each to be selected, in thousandths
   */
  List<SimWorker> randomWorkers(int share) {
    return simulation.workers().stream().filter(worker -> random.nextInt(1000) < share).toList();
  }
}
