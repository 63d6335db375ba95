package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;
import static org.dewreach.sim.SimulationFixture.assertNoViolations;
import static org.dewreach.sim.SimulationFixture.busyCluster;
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
class StaleReadTest {
  /** How a combination is brought about, and what shows that it took place. */
  private enum Combination implements FaultCombination {
    /**
     * Guards: {@code PendingQueries.endIsBeingWritten}; the second look at live records in {@code
     * StoredJobReader.read}.
     */
    QUERIES_AT_EACH_CHANGE {
      @Override
      public void schedule(FaultScenario day) {
        day.simulation.users.queryOnEachChange(day.timeAfter(90));
        day.simulation.users.cancelAtEnd(200, day.timeAfter(90));
        for (double at = 0; at < 80; at += day.randomBetween(0.3, 1.5)) {
          day.after(at, day.simulation.users::submitRandomJob);
        }
        for (double at = 2; at < 70; at += day.randomBetween(6, 12)) {
          day.after(at, () -> disruptReads(day));
          day.after(at + day.randomBetween(0, 3), () -> day.simulation.users.cancelNow(2, 0));
        }
        day.faultsEndAt = day.timeAfter(100);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.cancellations() > 5
            && day.simulation.checker.jobsReportedDone > day.doneBefore + 5;
      }
    },

    /**
     * Guards: {@code PendingQueries.endIsBeingWritten}; the second look at live records in {@code
     * StoredJobReader.read}.
     */
    STORE_RESPONSES_LOST {
      @Override
      public void schedule(FaultScenario day) {
        int share = 100 + day.random.nextInt(500);
        day.simulation.state.loseAnswers(share, day.timeAfter(50));
        day.simulation.users.queryOnEachChange(day.timeAfter(60));
        day.simulation.users.cancelAtEnd(300, day.timeAfter(60));
        for (double at = 0; at < 50; at += day.randomBetween(0.3, 1.5)) {
          day.after(at, day.simulation.users::submitRandomJob);
        }
        for (double at = 1; at < 50; at += day.randomBetween(2, 6)) {
          day.after(at, () -> day.simulation.users.cancelNow(1, 0));
          if (day.chanceOneIn(2)) {
            // Jobs are then accepted, read and cancelled without the leader.
            day.after(at, () -> refuseFollowersAtLeader(day, day.randomBetween(0.5, 4)));
          }
          if (day.chanceOneIn(4)) {
            day.after(at + day.randomBetween(0, 1), day::disruptRandomController);
          }
        }
        day.faultsEndAt = day.timeAfter(75);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.simulation.state.lostAnswers > 20 && day.cancellations() > 3;
      }
    },

    /** Guard: the second look at live records in {@code StoredJobReader.read} (seed 3). */
    CANCELLED_DURING_LEADER_CHANGE {
      @Override
      public void schedule(FaultScenario day) {
        day.simulation.users.queryOnEachChange(day.timeAfter(90));
        for (double at = 2; at < 75; at += day.randomBetween(8, 14)) {
          for (int i = 0; i < 4; i++) {
            day.after(at - 2, () -> day.submitLongJob(60 * SECOND));
          }
          day.after(at, () -> disruptLeader(day));
          for (int i = 0; i < 6; i++) {
            day.after(at + day.randomBetween(-0.5, 5), () -> day.simulation.users.cancelNow(1, 0));
          }
        }
        day.faultsEndAt = day.timeAfter(100);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaderChanges() > 2 && day.cancellations() > 5;
      }
    },

    /** Guard: the second look at live records in {@code StoredJobReader.read}. */
    MANY_SHORT_JOBS {
      @Override
      public void schedule(FaultScenario day) {
        day.simulation.users.queryOnEachChange(day.timeAfter(100));
        for (double at = 0; at < 90; at += 0.25) {
          day.after(at, day.simulation.users::submitShortJob);
        }
        if (day.chanceOneIn(2)) {
          day.after(day.randomBetween(5, 60), () -> disruptLeader(day));
        }
        day.faultsEndAt = day.timeAfter(110);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.cancellations() > 20
            && day.simulation.checker.jobsReportedDone > day.doneBefore + 100;
      }
    };

    /** The leader ends, stands still, is refused, hears no worker, or is back at once. */
    private static void disruptLeader(FaultScenario day) {
      String leader = day.leaderOrRandomController();
      double length = day.randomBetween(3, 7);
      switch (day.random.nextInt(5)) {
        case 0 ->
            day.simulation.controllers.crash(leader, SECOND + day.random.nextLong(8 * SECOND));
        case 1 -> day.simulation.controllers.freeze(leader, (long) (length * SECOND));
        case 2 -> day.simulation.state.refuse(leader, day.timeAfter(length));
        case 3 ->
            day.simulation
                .workers()
                .forEach(
                    w ->
                        day.simulation.network.partition(
                            w.name, leader, day.timeAfter(length), false));
        default -> day.simulation.controllers.crash(leader, 20_000 + day.random.nextLong(500_000));
      }
    }

    /** For a while the other nodes do not reach the leader, and read the state service. */
    private static void refuseFollowersAtLeader(FaultScenario day, double length) {
      String leader = day.leaderOrRandomController();
      for (String node : Simulation.NODES) {
        if (!node.equals(leader)) {
          day.simulation.network.refuse(node, leader, day.timeAfter(length));
        }
      }
    }

    /** Something from which the nodes' answers come is cut, late or slow for some seconds. */
    private static void disruptReads(FaultScenario day) {
      double length = day.randomBetween(1, 6);
      String leader = day.leaderOrRandomController();
      switch (day.random.nextInt(9)) {
        case 0, 1 -> refuseFollowersAtLeader(day, length);
        case 2 -> day.simulation.state.outage((long) (length * SECOND));
        case 3 -> day.simulation.state.slow(day.timeAfter(length));
        case 4 -> day.simulation.state.loseAnswers(400, day.timeAfter(length));
        case 5 ->
            day.simulation.network.cut("state", leader, day.timeAfter(length), day.chanceOneIn(2));
        case 6 ->
            day.simulation.faults.partitionFromStateAndPeers(
                leader, day.timeAfter(length), day.chanceOneIn(2));
        case 7 -> disruptLeader(day);
        default -> {
          Simulation.NODES.forEach(
              node -> day.simulation.state.lagWatches(node, day.timeAfter(length)));
          refuseFollowersAtLeader(day, length);
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
  void noStaleStateIsReturned(Combination combination, long seed) {
    CombinationRun.assertRulesHold(combination, seed);
  }

  /** So long a watch may tell of nothing before the leader gives it up and reads anew. */
  private static final long WATCH_LAG_MICROS = 2_500_000;

  /** A job that a follower accepts without the leader, whose watches tell of nothing meanwhile. */
  private static JobSpec acceptAtFollower(
      Simulation simulation, String leader, String follower, long watchLag) {
    simulation.state.lagWatches(leader, simulation.clock.now() + watchLag);
    simulation.network.refuse(follower, leader, simulation.clock.now() + watchLag);
    simulation.requests.nodes = List.of(follower);
    simulation.users.submitLongJob(1, 60 * SECOND);
    JobSpec spec =
        simulation.users.spec(simulation.users.ids().get(simulation.users.ids().size() - 1));
    simulation.runUntil(simulation.clock.now() + 300_000);
    simulation.requests.nodes = Simulation.NODES;
    assertTrue(simulation.checker.accepted(spec.id()), "it was not accepted");
    assertTrue(
        simulation.state.keys.containsKey(Keys.leaderlessJob(spec.id())),
        "it was taken over already");
    return spec;
  }

  /**
   * A leader that stands still while it looks a repeat up finds the job neither among the new
   * records nor in its own cluster state: the next leader has taken it over meanwhile.
   *
   * <p>Guard: {@code AuthorityCheckedResponder}, which asks for authority also where a submission
   * is judged. Without it the repeat was answered 400 or 422.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  @DisplayName("A leader whose authority has ended refuses no repeat of a job that was accepted")
  void noResubmissionIsRejectedWithoutAuthority(long seed) {
    Simulation simulation = busyCluster(seed, 20 * SECOND, 3 * SECOND, 30 * SECOND);
    String leader = simulation.controllers.leader();
    // Longer than it stands still: it must not learn of the job by its watch.
    JobSpec spec =
        acceptAtFollower(simulation, leader, simulation.controllers.follower(), 6 * SECOND);
    int leaders = simulation.state.leaderKeys;
    simulation.controllers.freezeAtRequest(leader, 4 * SECOND);
    ObjectNode differs = spec.toNode().put("cpus", 1_000.0);
    if (seed % 2 == 0) {
      differs.remove("lane");
    }
    simulation.requests.submitOnce(spec.id(), differs, leader);
    simulation.runUntil(simulation.clock.now() + 6 * SECOND);
    assertNotEquals(leaders, simulation.state.leaderKeys, "nobody else came to lead");
    assertTrue(
        simulation.state.keys.containsKey(Keys.job(spec.id())), "nobody has taken the job over");
    assertNoViolations(simulation);
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
  void requestsWaitingForImportAreAnswered(long seed) {
    Simulation simulation = busyCluster(seed, 20 * SECOND, 3 * SECOND, 30 * SECOND);
    String leader = simulation.controllers.leader();
    long watchTells = simulation.clock.now() + WATCH_LAG_MICROS;
    JobSpec spec =
        acceptAtFollower(simulation, leader, simulation.controllers.follower(), WATCH_LAG_MICROS);
    simulation.requests.queryOnce(spec.id(), leader);
    simulation.runUntil(simulation.clock.now() + 300_000);
    simulation.requests.cancelOnce(spec.id(), leader);
    simulation.runUntil(watchTells - 100_000);
    assertTrue(simulation.state.keys.containsKey(Keys.finalState(spec.id())), "it is not over");
    simulation.state.slow(simulation.clock.now() + 4 * SECOND);
    int repeats = 400;
    int[] answered = {0};
    for (int i = 0; i < repeats; i++) {
      simulation.clock.in(
          i * 10_000L,
          () ->
              simulation.controllers.send(
                  "user", leader, "POST", "/work", spec.toNode(), (status, body) -> answered[0]++));
    }
    simulation.runUntil(simulation.clock.now() + 10 * SECOND);
    assertEquals(repeats, answered[0]);
    assertNoViolations(simulation);
  }
}
