package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;

import java.util.List;
import java.util.Random;

/**
 * A simulated cluster under load for a combination of faults: the counts before the faults begin,
 * and the time when the last fault ends.
 */
final class FaultScenario {
  final Simulation simulation;
  final Random random;
  final int leaderKeyWritesBefore;
  final int cancelledBefore;
  final int doneBefore;
  final int taskStartsBefore;
  long faultsEndAt;

  /** The number of jobs reported as done when a combination crashed the leader. */
  int doneAtCrash;

  /** Starts a cluster of about ten machines with long-running tasks and a stream of short jobs. */
  FaultScenario(long seed) {
    simulation = new Simulation(seed);
    random = simulation.random;
    simulation.startWorkload(150 * SECOND, 5 * SECOND);
    for (int i = 0; i < 14; i++) {
      simulation.clock.at(random.nextLong(25 * SECOND), () -> submitLongJob(150 * SECOND));
    }
    simulation.runUntil(40 * SECOND + random.nextLong(4 * SECOND));
    leaderKeyWritesBefore = simulation.store.leaderKeyWrites;
    cancelledBefore = simulation.checker.jobsReportedCancelled;
    doneBefore = simulation.checker.jobsReportedDone;
    taskStartsBefore = simulation.checker.taskStarts;
  }

  void submitLongJob(long runsMicros) {
    simulation.users.submitLongJob(1 + random.nextInt(3), runsMicros);
  }

  /** Runs the action after the given time; a fault that it begins must end by itself. */
  void after(double seconds, Runnable action) {
    simulation.clock.in((long) (seconds * SECOND), action);
  }

  long timeAfter(double seconds) {
    return simulation.clock.now() + (long) (seconds * SECOND);
  }

  double randomBetween(double from, double to) {
    return from + random.nextDouble() * (to - from);
  }

  boolean chanceOneIn(int cases) {
    return random.nextInt(cases) == 0;
  }

  String leaderOrRandomController() {
    String leader = simulation.controllers.leader();
    return leader == null ? randomController() : leader;
  }

  /** Returns the controllers in the zone that the given one is not in. */
  List<String> controllersInOtherZone(String controller) {
    String zone = Simulation.zoneOf(controller);
    return Simulation.CONTROLLERS.stream().filter(n -> !Simulation.zoneOf(n).equals(zone)).toList();
  }

  String randomController() {
    return Simulation.CONTROLLERS.get(random.nextInt(Simulation.CONTROLLERS.size()));
  }

  /** Cancels all long-running jobs at random times, some while their machines are disrupted. */
  void cancelLongJobs(double from, double to) {
    after(
        from,
        () -> {
          for (String id : simulation.users.longRunningJobs()) {
            double at = randomBetween(0, to - from);
            after(at, () -> simulation.requests.cancelUntilConfirmed(id));
            if (chanceOneIn(2)) {
              after(
                  Math.max(0, at - randomBetween(0, 0.3)),
                  () -> disruptMachines(simulation.checker.workersRunning(id)));
            }
          }
        });
  }

  /** Makes the machines hang or lose one direction of traffic, for less than a lease. */
  void disruptMachines(List<SimWorker> machines) {
    double length = randomBetween(4, 9.8);
    switch (random.nextInt(4)) {
      case 0 -> simulation.faults.dropRepliesTo(machines, timeAfter(length));
      case 1 -> simulation.faults.refuseRequestsFrom(machines, timeAfter(length));
      default -> machines.forEach(worker -> worker.hang((long) (length * SECOND)));
    }
  }

  /** Crashes or freezes the leader or a random controller. */
  void disruptRandomController() {
    String controller = chanceOneIn(2) ? leaderOrRandomController() : randomController();
    if (chanceOneIn(2)) {
      simulation.controllers.crash(controller, 20_000 + random.nextLong(3 * SECOND));
    } else {
      simulation.controllers.freeze(controller, SECOND + random.nextLong(7 * SECOND));
    }
  }

  /**
   * Has the key-value store refuse the leader, and begins an outage for all controllers later.
   *
   * @param refused when the leader is refused, in seconds from now
   * @param gap the time from then to the outage, in seconds
   * @param outage the length of the outage, in seconds
   * @param atNextLeader true if the outage begins, instead of after the gap, as the next controller
   *     acquires the leader key
   */
  void leaderRefusedThenOutage(double refused, double gap, double outage, boolean atNextLeader) {
    after(
        refused,
        () -> {
          simulation.store.refuse(leaderOrRandomController(), timeAfter(randomBetween(14, 60)));
          long micros = (long) (outage * SECOND);
          if (atNextLeader) {
            boolean[] scheduled = {false};
            simulation.store.onLeaderKeyWritten =
                name -> {
                  if (!scheduled[0]) {
                    scheduled[0] = true;
                    int spread = chanceOneIn(2) ? 30_000 : 300_000;
                    simulation.clock.in(
                        random.nextInt(spread), () -> simulation.store.outage(micros));
                  }
                };
          } else {
            after(gap, () -> simulation.store.outage(micros));
          }
        });
  }

  int leaderChanges() {
    return simulation.store.leaderKeyWrites - leaderKeyWritesBefore;
  }

  int cancellations() {
    return simulation.checker.jobsReportedCancelled - cancelledBefore;
  }
}
