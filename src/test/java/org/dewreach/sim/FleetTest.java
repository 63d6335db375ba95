package org.dewreach.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.dewreach.wire.JobKind;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * A fleet of 1,600 machines; the rules are checked after each step. Work is bounded by counts, not
 * by wall time, so that the verdict is the same on every machine.
 */
class FleetTest {
  private static final long S = 1_000_000;

  /** Services and arrays as they come at the start of a day, and more of both until the end. */
  private static Simulation fleet(long seed, long untilMicros) {
    Simulation world = new Simulation(seed, 1, Simulation.Size.FLEET);
    world.cloud.fill();
    for (int i = 0; i < 400; i++) {
      world.clock.at(
          world.random.nextInt(5_000_000),
          () -> world.users.arriveAtFleet(true, 1, 30 * S + world.random.nextInt(120_000_000)));
    }
    for (int i = 0; i < 40; i++) {
      world.clock.at(
          world.random.nextInt(5_000_000),
          () -> world.users.arriveAtFleet(false, 20 + world.random.nextInt(80), 20 * S));
    }
    for (long at = 6 * S; at < untilMicros; at += S) {
      boolean service = at / S % 2 == 0;
      world.clock.at(
          at,
          () -> world.users.arriveAtFleet(service, service ? 1 : 30, service ? 60 * S : 10 * S));
    }
    world.live(0, S);
    return world;
  }

  private static int most(Map<Long, Integer> counts) {
    return counts.values().stream().max(Integer::compare).orElse(0);
  }

  @Test
  @DisplayName("All controllers end at once, then a zone is cut off and the leader ends too")
  void crashOfAllAndCutZone() {
    Simulation world = fleet(1, 110 * S);
    world.play(40 * S);
    assertEquals(List.of(), world.checker.broken);
    long services = running(world, JobKind.SERVICE);
    assertTrue(services > 300, "services that run: " + services);
    int readBefore = world.state.recordsRead;
    int requestsBefore = world.state.requests.values().stream().mapToInt(i -> i).sum();
    Simulation.NODES.forEach(n -> world.crash(n, 2 * S + world.random.nextInt(2_000_000)));
    world.play(60 * S);
    assertEquals(0, world.leasesLost, "nobody's lease runs out for a restart");
    int records = world.state.recordsRead - readBefore;
    // One leader reads each live job once, and the pages of the register.
    assertTrue(records <= 2 * 700, "records read by the next leader: " + records);
    int requests = world.state.requests.values().stream().mapToInt(i -> i).sum() - requestsBefore;
    assertTrue(requests < 20 * world.size.stateRps(), "requests in 20 s: " + requests);
    // A third of the machines and a controller, cut off together; then the leader ends.
    long until = 100 * S;
    for (SimWorker each : world.workers()) {
      if (each.zone.equals("b")) {
        for (String node : Simulation.NODES) {
          world.network.part(each.name, node, until, true);
        }
      }
    }
    world.play(66 * S);
    world.crash(world.leading(), 5 * S);
    world.play(100 * S);
    int returnedByCut = world.cloud.returned;
    world.checker.faultsEndAt = 100 * S;
    world.play(240 * S);
    assertEquals(List.of(), world.checker.broken);
    assertTrue(returnedByCut < 800, "machines returned while the zone was cut: " + returnedByCut);
    List<String> open =
        world.users.ids().stream()
            .filter(id -> world.checker.accepted(id) && world.checker.finalTold(id) == null)
            .toList();
    assertEquals(List.of(), open, "jobs that never ended");
    assertTrue(
        most(world.state.requests) <= 1.5 * world.size.stateRps(),
        "state requests in one second: " + most(world.state.requests));
    assertEquals(0, world.state.tooMany, "requests that the state service turned away");
  }

  /** Guards against the only leader outside a cut zone that gives up before its workers find it. */
  @Test
  @DisplayName("A leader outside a cut zone waits until workers have tried the nodes inside")
  void leaderOutsideACutZone() {
    for (long seed : new long[] {3, 5}) {
      Simulation.Size size =
          new Simulation.Size(2.5, 15.25, 40.25, 20_000, 900, 150, 12, 10, 1_000, 500);
      Simulation world = new Simulation(seed, 1, size);
      world.cloud.fill();
      for (int i = 0; i < 40; i++) {
        world.clock.at(
            world.random.nextInt(5_000_000), () -> world.users.arriveAtFleet(true, 1, 300 * S));
      }
      world.live(0, S);
      world.play(40 * S);
      // Let the leader be inside, with another controller; one is left outside.
      if (world.leading().equals("n2")) {
        world.crash("n2", S);
        world.play(50 * S);
      }
      assertEquals("a", Simulation.zoneOf(world.leading()));
      long at = world.clock.now();
      world.cutZone("a", at + 40 * S, true);
      world.play(at + 25 * S);
      assertEquals("n2", world.leading(), "seed " + seed);
      assertEquals(0, world.leasesLost, "seed " + seed);
      assertEquals(List.of(), world.checker.broken);
    }
  }

  private static long running(Simulation world, JobKind jobKind) {
    return world.workers().stream()
        .flatMap(worker -> worker.running().stream())
        .filter(name -> world.users.spec(name.substring(0, name.indexOf('/'))).jobKind() == jobKind)
        .count();
  }
}
