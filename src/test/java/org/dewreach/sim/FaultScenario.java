package org.dewreach.sim;

import java.util.List;
import java.util.Random;

/** What a day has seen by the time its combination begins, and which trouble is the last to end. */
final class FaultScenario {
  private static final long S = 1_000_000;

  final Simulation world;
  final Random random;
  final int leadersBefore;
  final int cancelledBefore;
  final int doneBefore;
  final int startedBefore;
  long quietFrom;

  /** Jobs that were told to be done when a combination let the leader crash. */
  int doneAtCrash;

  /** Tasks that ran although their users had been told that their jobs are cancelled. */
  long mostRanCancelled;

  /** Long tasks run on some ten machines, and short jobs come all the time. */
  FaultScenario(long seed) {
    world = new Simulation(seed);
    random = world.random;
    world.live(150 * S, 5 * S);
    for (int i = 0; i < 14; i++) {
      world.clock.at(random.nextLong(25 * S), () -> arriveLong(150 * S));
    }
    world.play(40 * S + random.nextLong(4 * S));
    leadersBefore = world.state.leaderKeys;
    cancelledBefore = world.checker.toldCancelled;
    doneBefore = world.checker.toldDone;
    startedBefore = world.checker.started;
    watch();
  }

  void arriveLong(long runsMicros) {
    world.users.arriveLong(1 + random.nextInt(3), runsMicros);
  }

  private void watch() {
    mostRanCancelled = Math.max(mostRanCancelled, world.checker.cancelledThatRun());
    world.clock.in(100_000, this::watch);
  }

  /** So long from now, counted in seconds; the trouble that begins then must end by itself. */
  void in(double seconds, Runnable trouble) {
    world.clock.in((long) (seconds * S), trouble);
  }

  long until(double seconds) {
    return world.clock.now() + (long) (seconds * S);
  }

  double between(double from, double to) {
    return from + random.nextDouble() * (to - from);
  }

  boolean oneIn(int cases) {
    return random.nextInt(cases) == 0;
  }

  String leader() {
    String leader = world.leading();
    return leader == null ? anyNode() : leader;
  }

  /** The nodes in the zone that the given one is not in. */
  List<String> otherZone(String node) {
    String zone = Simulation.zoneOf(node);
    return Simulation.NODES.stream().filter(n -> !Simulation.zoneOf(n).equals(zone)).toList();
  }

  String anyNode() {
    return Simulation.NODES.get(random.nextInt(Simulation.NODES.size()));
  }

  /** All jobs that run for long are called off at drawn moments, some while machines hang. */
  void callOff(double from, double to) {
    in(
        from,
        () -> {
          for (String id : world.users.longRunning()) {
            double at = between(0, to - from);
            in(at, () -> world.users.cancel(id, 0));
            if (oneIn(2)) {
              in(Math.max(0, at - between(0, 0.3)), () -> disturb(world.checker.runsOn(id)));
            }
          }
        });
  }

  /** These machines hang, hear nothing or are not heard, for up to a little less than a lease. */
  void disturb(List<SimWorker> machines) {
    double length = between(4, 9.8);
    switch (random.nextInt(4)) {
      case 0 -> world.dropRepliesTo(machines, until(length));
      case 1 -> world.mute(machines, until(length));
      default -> machines.forEach(worker -> worker.hang((long) (length * S)));
    }
  }

  /** One of the controllers ends or stands still. */
  void disturbNode() {
    String node = oneIn(2) ? leader() : anyNode();
    if (oneIn(2)) {
      world.crash(node, 20_000 + random.nextLong(3 * S));
    } else {
      world.freeze(node, S + random.nextLong(7 * S));
    }
  }

  /** The leader is refused from a moment on, and a while later so are all. */
  void refusedThenOutage(double refused, double gap, double outage, boolean atNextLeader) {
    in(
        refused,
        () -> {
          world.state.refuse(leader(), until(between(14, 60)));
          long micros = (long) (outage * S);
          if (atNextLeader) {
            boolean[] begun = {false};
            world.state.onLeaderKey =
                name -> {
                  if (!begun[0]) {
                    begun[0] = true;
                    int spread = oneIn(2) ? 30_000 : 300_000;
                    world.clock.in(random.nextInt(spread), () -> world.state.outage(micros));
                  }
                };
          } else {
            in(gap, () -> world.state.outage(micros));
          }
        });
  }

  int leaders() {
    return world.state.leaderKeys - leadersBefore;
  }

  int cancelled() {
    return world.checker.toldCancelled - cancelledBefore;
  }
}
