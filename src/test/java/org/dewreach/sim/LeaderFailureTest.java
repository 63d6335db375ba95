package org.dewreach.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dewreach.store.Keys;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Leaders that crash, freeze, restart or lose the state service; each case is seeded. */
class LeaderFailureTest {
  private static final long S = 1_000_000;

  /** Guards against the workers' leases running out in an outage longer than they are. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  @DisplayName("Workers keep their tasks through an outage of the state service")
  void outageLongerThanLeases(long seed) {
    Simulation world = new Simulation(seed);
    world.live(150 * S, 3 * S);
    world.play(60 * S);
    String leader = world.leading();
    world.state.outage(30 * S);
    world.play(92 * S);
    assertEquals(0, world.leasesLost);
    assertEquals(leader, world.leading(), "the same leader goes on");
    world.play(320 * S);
    assertEquals(List.of(), world.checker.broken);
  }

  /** Guards against two terms at once when the state service refuses the leader alone. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  @DisplayName("A leader that alone is refused gives way to another")
  void leaderRefused(long seed) {
    Simulation world = new Simulation(seed);
    world.live(150 * S, 3 * S);
    world.play(60 * S);
    String leader = world.leading();
    world.state.refuse(leader, 90 * S);
    world.play(75 * S);
    assertTrue(world.leading() != null && !world.leading().equals(leader), "nobody took over");
    world.play(320 * S);
    assertEquals(0, world.leasesLost);
    assertEquals(List.of(), world.checker.broken);
  }

  /** Guards against a new leader returning machines that its predecessor rented and that boot. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  @DisplayName("A new leader waits for machines that still boot")
  void newLeaderWaitsForBoots(long seed) {
    Simulation world = new Simulation(seed);
    world.cloud.bootFactor = 4;
    world.live(20 * S, 2 * S);
    world.play(9 * S);
    world.crash(world.leading(), 3 * S);
    world.play(26 * S);
    assertEquals(0, world.cloud.returnedBooting);
    world.play(200 * S);
    assertEquals(List.of(), world.checker.broken);
    assertTrue(world.checker.completions > 0, "nothing ran");
  }

  /** Guards against an older answer than another node read, seed 1003 of the drawn days. */
  // Seeds with which no other write of the leader is on its way just then: its answer would be held
  // up too, and the cancellations wait behind it.
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {4, 5, 8, 9, 10, 13})
  @DisplayName("A leader that does not know yet whether a job ended tells no older state")
  void anEndOnItsWay(long seed) {
    Simulation world = new Simulation(seed);
    world.live(50 * S, 2 * S);
    world.play(60 * S);
    String leader = world.leading();
    String other =
        Simulation.NODES.stream().filter(n -> !n.equals(leader)).findFirst().orElseThrow();
    List<String> open =
        world.users.ids().stream()
            .filter(id -> world.checker.accepted(id) && world.checker.finalTold(id) == null)
            .toList();
    assertTrue(!open.isEmpty(), "no job is open");
    // What the state service answers the leader is held up; another node goes on without it.
    world.network.cut("state", leader, 62 * S, true);
    world.network.refuse(other, leader, 70 * S);
    open.forEach(id -> world.users.cancel(id, leader));
    // Asked once the first of them has become durable, which takes its stops and a pass.
    while (world.clock.now() < 61 * S
        && open.stream().noneMatch(id -> cancelled(world.state.keys.get(Keys.job(id))))) {
      world.play(world.clock.now() + 20_000);
    }
    open.forEach(id -> world.users.ask(id, other));
    world.play(world.clock.now() + 500_000);
    assertTrue(
        open.stream().anyMatch(id -> world.checker.finalTold(id) != null), "nobody was told");
    open.forEach(id -> world.users.ask(id, leader));
    world.play(70 * S);
    assertEquals(List.of(), world.checker.broken);
  }

  private static boolean cancelled(SimKeyValueStore.Value record) {
    return record != null && record.data().path("off").asBoolean(false);
  }

  /** Guards against submissions that wait for the next leader. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  @DisplayName("A job is accepted at once while there is no leader, and runs under the next")
  void acceptedWithoutLeader(long seed) {
    Simulation world = new Simulation(seed);
    world.live(30 * S, 3 * S);
    world.play(60 * S);
    String leader = world.leading();
    world.crash(leader, 5 * S);
    world.play(60 * S + 400_000);
    int before = world.users.ids().size();
    world.users.nodes = Simulation.NODES.stream().filter(n -> !n.equals(leader)).toList();
    for (int i = 0; i < 5; i++) {
      world.users.arrive();
    }
    world.play(61 * S + 400_000);
    List<String> added = world.users.ids().subList(before, before + 5);
    added.forEach(id -> assertTrue(world.checker.accepted(id), id + " was not accepted at once"));
    world.users.nodes = Simulation.NODES;
    world.checker.faultsEndAt = 66 * S;
    world.play(320 * S);
    assertEquals(List.of(), world.checker.broken);
    added.forEach(id -> assertTrue(world.checker.finalTold(id) != null, id + " never ended"));
  }

  /** Guards against a process that trips over its own key, hold or forgotten grants. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  @DisplayName("Controllers that are back at once, also in mid-election, cost no lease")
  void controllersBackAtOnce(long seed) {
    Simulation world = new Simulation(seed);
    world.live(150 * S, 3 * S);
    for (int at = 30; at < 150; at += 12) {
      boolean all = at % 24 == 6;
      world.clock.at(
          at * S,
          () -> {
            String leader = world.leading();
            for (String node : Simulation.NODES) {
              if (all || node.equals(leader)) {
                world.crash(node, 20_000 + world.random.nextInt(500_000));
              }
            }
          });
      // Once more while the next leader is being chosen.
      world.clock.at(
          at * S + 2 * S,
          () -> world.crash(Simulation.NODES.get(world.random.nextInt(3)), 100_000));
    }
    world.checker.faultsEndAt = 155 * S;
    world.play(320 * S);
    assertEquals(List.of(), world.checker.broken);
    assertEquals(0, world.leasesLost);
    for (String id : world.users.ids()) {
      assertTrue(world.checker.finalTold(id) != null, id + " never ended");
    }
  }

  /** Guards against commands and answers on authority that passed while the process stood still. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  @DisplayName("A leader that stands still while its clocks run on does no harm when it goes on")
  void frozenLeader(long seed) {
    Simulation world = new Simulation(seed);
    world.live(150 * S, 2 * S);
    for (int at = 30; at < 150; at += 25) {
      // Every other time from the middle of a user's request, so that an answer is surely held up.
      boolean inRequest = at % 2 == 1;
      world.clock.at(at * S, () -> freezeLeader(world, inRequest));
    }
    world.checker.faultsEndAt = 175 * S;
    world.play(320 * S);
    assertEquals(List.of(), world.checker.broken);
    assertTrue(world.heldBack > 0, "nothing decided on before a freeze was held back");
    for (String id : world.users.ids()) {
      assertTrue(world.checker.finalTold(id) != null, id + " never ended");
    }
  }

  private static void freezeLeader(Simulation world, boolean inRequest) {
    String leader = world.leading();
    if (leader == null) {
      return;
    }
    long micros = 3 * S + world.random.nextInt(20_000_000);
    if (inRequest) {
      world.freezeAtRequest(leader, micros);
    } else {
      world.freeze(leader, micros);
    }
  }
}
