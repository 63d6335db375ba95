package org.dewreach.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A team without a guarantee and without a limit, beside teams that have both. */
class GuestsTest {
  private static final long S = 1_000_000;
  private static final Simulation.Size SITE =
      new Simulation.Size(2.5, 16, 36, 200, 200, 50, 2, 8, 1_000, 500);

  private static JobSpec guest(String id, int tasks, double cpus, long runs) {
    return OperationalFaultsTest.job(id, "guest", JobKind.ARRAY, Priority.LOW, tasks, cpus, runs);
  }

  private static Simulation site(long seed, long untilMicros) {
    Simulation world = new Simulation(seed, 1, SITE);
    world.cloud.fill();
    for (long at = S; at < untilMicros; at += 2 * S) {
      world.clock.at(at, () -> world.users.arriveAtFleet(true, 1, 60 * S));
      world.clock.at(at, () -> world.users.arriveAtFleet(false, 4, 8 * S));
    }
    world.live(0, S);
    return world;
  }

  private static List<String> idsOf(Simulation world, boolean guests) {
    return world.users.ids().stream()
        .filter(id -> world.users.spec(id).team().equals("guest") == guests)
        .toList();
  }

  private static void assertOthersServed(Simulation world, long untilMicros) {
    List<String> others =
        idsOf(world, false).stream()
            .filter(id -> world.checker.acceptedAt(id) < untilMicros - 20 * S)
            .toList();
    long late = others.stream().filter(id -> world.checker.waited(id) > 8 * S).count();
    assertTrue(late * 20 <= others.size(), late + " of " + others.size() + " waited long");
  }

  private static void assertStateKept(Simulation world) {
    assertEquals(List.of(), world.checker.broken);
    assertEquals(0, world.state.tooMany, "requests that the state service turned away");
  }

  /**
   * Red without {@code JobRecordWriter.PROGRESS_INTERVAL_MICROS}: 1,653 and 1,784 state changes a
   * minute.
   */
  @ParameterizedTest(name = "{0} tasks")
  @ValueSource(ints = {25_000, 100_000})
  @DisplayName("A huge array of a guest is served beside guaranteed work, with few state changes")
  void hugeArray(int tasks) {
    long until = tasks / 100 * S / 2 + 60 * S;
    Simulation world = site(1, until);
    world.play(40 * S);
    world.users.arrive(guest("req-huge", tasks, 0.25, 4 * S));
    int changesBefore = changes(world);
    world.play(until);
    int perMinute = (int) ((changes(world) - changesBefore) * 60 * S / (until - 40 * S));
    assertTrue(perMinute <= 600, "state changes in a minute: " + perMinute);
    assertEquals("done", world.checker.finalTold("req-huge"));
    assertStateKept(world);
    assertOthersServed(world, until);
  }

  private static int changes(Simulation world) {
    return world.state.changes.values().stream().mapToInt(i -> i).sum();
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  @DisplayName("Hundreds of one-task jobs a minute: at least half served, the others unharmed")
  void swarm(long seed) {
    Simulation world = site(seed, 200 * S);
    for (int i = 0; i < 900; i++) {
      String id = "req-tiny" + i;
      world.clock.at(20 * S + i * 200_000L, () -> world.users.arrive(guest(id, 1, 0.5, 3 * S)));
    }
    world.play(230 * S);
    List<String> guests = idsOf(world, true);
    long done = guests.stream().filter(id -> "done".equals(world.checker.finalTold(id))).count();
    assertTrue(done * 2 >= guests.size(), done + " of " + guests.size() + " done");
    assertStateKept(world);
    assertOthersServed(world, 200 * S);
  }
}
