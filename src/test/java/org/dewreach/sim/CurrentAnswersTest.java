package org.dewreach.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Stream;
import org.dewreach.store.Keys;
import org.dewreach.wire.JobSpec;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Combinations of faults in which a node could answer a user with something older than what any
 * node has told before. The checker compares each answer with what had been told when its question
 * was sent.
 */
class CurrentAnswersTest {
  private static final long S = 1_000_000;

  /** How a combination is brought about, and what shows that it took place. */
  private enum Combination implements FaultCombination {
    /**
     * Guards: {@code PendingQueries.endIsBeingWritten}; the second look at live records in {@code
     * StoredJobReader.read}.
     */
    CLOSE_LOOKS {
      @Override
      public void bring(FaultScenario day) {
        day.world.users.closeLooks(day.until(90));
        day.world.users.cancelAtEnd(200, day.until(90));
        for (double at = 0; at < 80; at += day.between(0.3, 1.5)) {
          day.in(at, day.world.users::arrive);
        }
        for (double at = 2; at < 70; at += day.between(6, 12)) {
          day.in(at, () -> disturbAnswers(day));
          day.in(at + day.between(0, 3), () -> day.world.users.cancelNow(2, 0));
        }
        day.quietFrom = day.until(100);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.cancelled() > 5 && day.world.checker.toldDone > day.doneBefore + 5;
      }
    },

    /**
     * Guards: {@code PendingQueries.endIsBeingWritten}; the second look at live records in {@code
     * StoredJobReader.read}.
     */
    ANSWERS_LOST {
      @Override
      public void bring(FaultScenario day) {
        int share = 100 + day.random.nextInt(500);
        day.world.state.loseAnswers(share, day.until(50));
        day.world.users.closeLooks(day.until(60));
        day.world.users.cancelAtEnd(300, day.until(60));
        for (double at = 0; at < 50; at += day.between(0.3, 1.5)) {
          day.in(at, day.world.users::arrive);
        }
        for (double at = 1; at < 50; at += day.between(2, 6)) {
          day.in(at, () -> day.world.users.cancelNow(1, 0));
          if (day.oneIn(2)) {
            // Jobs are then accepted, read and cancelled without the leader.
            day.in(at, () -> leaveLeaderOut(day, day.between(0.5, 4)));
          }
          if (day.oneIn(4)) {
            day.in(at + day.between(0, 1), day::disturbNode);
          }
        }
        day.quietFrom = day.until(75);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.world.state.lostAnswers > 20 && day.cancelled() > 3;
      }
    },

    /** Guard: the second look at live records in {@code StoredJobReader.read} (seed 3). */
    CANCELLED_AT_A_CHANGE_OF_LEADER {
      @Override
      public void bring(FaultScenario day) {
        day.world.users.closeLooks(day.until(90));
        for (double at = 2; at < 75; at += day.between(8, 14)) {
          for (int i = 0; i < 4; i++) {
            day.in(at - 2, () -> day.arriveLong(60 * S));
          }
          day.in(at, () -> changeLeader(day));
          for (int i = 0; i < 6; i++) {
            day.in(at + day.between(-0.5, 5), () -> day.world.users.cancelNow(1, 0));
          }
        }
        day.quietFrom = day.until(100);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaders() > 2 && day.cancelled() > 5;
      }
    },

    /** Guard: the second look at live records in {@code StoredJobReader.read}. */
    MANY_SHORT_JOBS {
      @Override
      public void bring(FaultScenario day) {
        day.world.users.closeLooks(day.until(100));
        for (double at = 0; at < 90; at += 0.25) {
          day.in(at, day.world.users::arriveShort);
        }
        if (day.oneIn(2)) {
          day.in(day.between(5, 60), () -> changeLeader(day));
        }
        day.quietFrom = day.until(110);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.cancelled() > 20 && day.world.checker.toldDone > day.doneBefore + 100;
      }
    };

    /** The leader ends, stands still, is refused, hears no worker, or is back at once. */
    private static void changeLeader(FaultScenario day) {
      String leader = day.leader();
      double length = day.between(3, 7);
      switch (day.random.nextInt(5)) {
        case 0 -> day.world.crash(leader, S + day.random.nextLong(8 * S));
        case 1 -> day.world.freeze(leader, (long) (length * S));
        case 2 -> day.world.state.refuse(leader, day.until(length));
        case 3 ->
            day.world
                .workers()
                .forEach(w -> day.world.network.part(w.name, leader, day.until(length), false));
        default -> day.world.crash(leader, 20_000 + day.random.nextLong(500_000));
      }
    }

    /** For a while the other nodes do not reach the leader, and read the state service. */
    private static void leaveLeaderOut(FaultScenario day, double length) {
      String leader = day.leader();
      for (String node : Simulation.NODES) {
        if (!node.equals(leader)) {
          day.world.network.refuse(node, leader, day.until(length));
        }
      }
    }

    /** Something from which the nodes' answers come is cut, late or slow for some seconds. */
    private static void disturbAnswers(FaultScenario day) {
      double length = day.between(1, 6);
      String leader = day.leader();
      switch (day.random.nextInt(9)) {
        case 0, 1 -> leaveLeaderOut(day, length);
        case 2 -> day.world.state.outage((long) (length * S));
        case 3 -> day.world.state.slow(day.until(length));
        case 4 -> day.world.state.loseAnswers(400, day.until(length));
        case 5 -> day.world.network.cut("state", leader, day.until(length), day.oneIn(2));
        case 6 -> day.world.cutFromStateAndPeers(leader, day.until(length), day.oneIn(2));
        case 7 -> changeLeader(day);
        default -> {
          Simulation.NODES.forEach(node -> day.world.state.lagWatches(node, day.until(length)));
          leaveLeaderOut(day, length);
        }
      }
    }
  }

  /** Three seeds of each combination; more with -Dsim.seeds, from -Dsim.from on. */
  static Stream<Arguments> combinations() {
    return CombinationRun.seedsOf(Stream.of(Combination.values()));
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("combinations")
  @DisplayName("No node answers anything older than what any node has told before")
  void nothingOlderIsAnswered(Combination combination, long seed) {
    CombinationRun.assertRulesHold(combination, seed);
  }

  private static String follower(Simulation world) {
    String leader = world.leading();
    return Simulation.NODES.stream().filter(node -> !node.equals(leader)).findFirst().orElseThrow();
  }

  /** So long a watch may tell of nothing before the leader gives it up and reads anew. */
  private static final long WATCH_LAG = 2_500_000;

  /** A job that a follower accepts without the leader, whose watches tell of nothing meanwhile. */
  private static JobSpec acceptedBehindTheLeader(
      Simulation world, String leader, String follower, long watchLag) {
    world.state.lagWatches(leader, world.clock.now() + watchLag);
    world.network.refuse(follower, leader, world.clock.now() + watchLag);
    world.users.nodes = List.of(follower);
    world.users.arriveLong(1, 60 * S);
    JobSpec spec = world.users.spec(world.users.ids().get(world.users.ids().size() - 1));
    world.play(world.clock.now() + 300_000);
    world.users.nodes = Simulation.NODES;
    assertTrue(world.checker.accepted(spec.id()), "it was not accepted");
    assertTrue(
        world.state.keys.containsKey(Keys.leaderlessJob(spec.id())), "it was taken over already");
    return spec;
  }

  /**
   * A leader that stands still while it looks a repeat up finds the job neither among the new
   * records nor in its own cluster state: the next leader has taken it over meanwhile.
   *
   * <p>Guard: {@code Core.underAuthority}, which asks for authority also where a submission is
   * judged. Without it the repeat was answered 400 or 422.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  @DisplayName("A leader whose authority has ended refuses no repeat of a job that was accepted")
  void noRepeatIsRefusedWithoutAuthority(long seed) {
    Simulation world = new Simulation(seed);
    world.live(20 * S, 3 * S);
    world.play(30 * S);
    String leader = world.leading();
    // Longer than it stands still: it must not learn of the job by its watch.
    JobSpec spec = acceptedBehindTheLeader(world, leader, follower(world), 6 * S);
    int leaders = world.state.leaderKeys;
    world.freezeAtRequest(leader, 4 * S);
    ObjectNode differs = spec.toNode().put("cpus", 1_000.0);
    if (seed % 2 == 0) {
      differs.remove("lane");
    }
    world.users.submitOnce(spec.id(), differs, leader);
    world.play(world.clock.now() + 6 * S);
    assertNotEquals(leaders, world.state.leaderKeys, "nobody else came to lead");
    assertTrue(world.state.keys.containsKey(Keys.job(spec.id())), "nobody has taken the job over");
    assertEquals(List.of(), world.checker.broken);
  }

  /**
   * A repeat that waits for a job to be taken over, from a record that is there no more.
   *
   * <p>Guard: {@code JobRequestHandler.onImportFailed}. Without it such a repeat was never
   * answered.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  @DisplayName("Who waits for a job to be taken over is answered also when that fails")
  void whoWaitsForATakeOverIsAnswered(long seed) {
    Simulation world = new Simulation(seed);
    world.live(20 * S, 3 * S);
    world.play(30 * S);
    String leader = world.leading();
    long watchTells = world.clock.now() + WATCH_LAG;
    JobSpec spec = acceptedBehindTheLeader(world, leader, follower(world), WATCH_LAG);
    world.users.ask(spec.id(), leader);
    world.play(world.clock.now() + 300_000);
    world.users.cancel(spec.id(), leader);
    world.play(watchTells - 100_000);
    assertTrue(world.state.keys.containsKey(Keys.finalState(spec.id())), "it is not over");
    world.state.slow(world.clock.now() + 4 * S);
    int repeats = 400;
    int[] answered = {0};
    for (int i = 0; i < repeats; i++) {
      world.clock.in(
          i * 10_000L,
          () ->
              world.toNode(
                  "user", leader, "POST", "/work", spec.toNode(), (status, body) -> answered[0]++));
    }
    world.play(world.clock.now() + 10 * S);
    assertEquals(repeats, answered[0]);
    assertEquals(List.of(), world.checker.broken);
  }
}
