package org.dewreach.sim;

import java.util.ArrayList;
import java.util.List;

/** Combinations around leaders that change, end or are left alone. */
enum LeaderFaultCombination implements FaultCombination {
  /** Guard: {@code RecoveryTracker.allTasksKnown}. */
  HAND_OVER_AND_BACK {
    @Override
    public void bring(FaultScenario day) {
      for (double at = 1; at < 50; at += day.between(4, 9)) {
        boolean all = day.oneIn(3);
        day.in(
            at,
            () -> {
              String first = day.anyNode();
              for (String node : Simulation.NODES) {
                if (all || node.equals(day.leader())) {
                  long back = node.equals(first) || !all ? S : 8 * S;
                  day.world.crash(node, 20_000 + day.random.nextLong(back));
                }
              }
            });
        day.in(at + day.between(0.1, 3), () -> day.world.users.cancelNow(1, 0));
      }
      day.quietFrom = day.until(62);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaders() > 3 && day.cancelled() > 0;
    }
  },

  /** Guards: {@code RecoveryTracker.allTasksKnown}, {@code FailureDetector.leaseExpired}. */
  LEADER_ALONE_WITH_WORKERS {
    @Override
    public void bring(FaultScenario day) {
      double length = day.between(5, 40);
      String alone = day.leader();
      day.world.cutFromStateAndPeers(alone, day.until(length), day.oneIn(2));
      day.callOff(0, day.between(1, 8));
      day.in(
          day.between(0, 6),
          () -> {
            day.world.users.nodes =
                Simulation.NODES.stream().filter(n -> !n.equals(alone)).toList();
            day.in(length, () -> day.world.users.nodes = Simulation.NODES);
          });
      day.quietFrom = day.until(length + 12);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaders() > 0 && day.cancelled() > 0;
    }
  },

  /**
   * Guards: {@code RecoveryTracker.allTasksKnown}; seed 1: the leader condition in {@code
   * CommitQueue.send}.
   */
  TEN_LEADERS {
    @Override
    public void bring(FaultScenario day) {
      day.world.changeLeaders(10, 11 * S);
      if (day.oneIn(2)) {
        long lasts = (long) (day.between(5, 45) * S);
        day.in(day.between(10, 60), () -> day.world.state.outage(lasts));
      }
      for (double at = 1; at < 100; at += day.between(8, 20)) {
        day.in(at, () -> day.world.users.cancelNow(1, day.oneIn(2) ? 0 : 8 * S));
      }
      day.quietFrom = day.until(150);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaders() > 3 && day.cancelled() > 0;
    }
  },

  /** No guard was found yet whose removal turns this one alone red. */
  ALL_AWAY {
    @Override
    public void bring(FaultScenario day) {
      double away = day.between(11, 30);
      day.callOff(0, 3 + day.between(0, away));
      day.in(
          3,
          () ->
              Simulation.NODES.forEach(
                  n -> day.world.crash(n, (long) ((away + day.between(-3, 3)) * S))));
      day.quietFrom = day.until(away + 10);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.world.leasesLost > 0 && day.cancelled() > 0;
    }
  },

  /** Guards: {@code RecoveryTracker.allTasksKnown}, {@code FailureDetector.leaseExpired}. */
  LEADER_ENDS_UNHEARD {
    @Override
    public void bring(FaultScenario day) {
      double end = day.between(1, 3);
      day.in(
          end - day.between(-1, 1),
          () -> {
            List<SimWorker> some = day.world.some(500);
            long until = day.until(day.between(5, 30));
            if (day.oneIn(2)) {
              day.world.dropRepliesTo(some, until);
            } else {
              some.forEach(
                  w ->
                      Simulation.NODES.forEach(
                          n -> day.world.network.part(w.name, n, until, day.oneIn(2))));
            }
          });
      day.in(end, () -> day.world.crash(day.leader(), 20_000 + day.random.nextLong(15 * S)));
      day.callOff(end, end + day.between(1, 20));
      day.quietFrom = day.until(45);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaders() > 0 && day.cancelled() > 0;
    }
  },

  /** Guards: {@code RecoveryTracker.allTasksKnown}, {@code FailureDetector.leaseExpired}. */
  AT_THE_LIMIT {
    @Override
    public void bring(FaultScenario day) {
      for (int i = 0; i < 20; i++) {
        day.arriveLong(60 * S);
      }
      double change = day.between(10, 14);
      List<SimWorker> unheard = new ArrayList<>();
      day.in(
          change - day.between(0, 1),
          () -> {
            unheard.addAll(day.world.some(400));
            long until = day.until(day.between(4, 25));
            boolean hold = day.oneIn(2);
            for (SimWorker worker : unheard) {
              Simulation.NODES.forEach(n -> day.world.network.part(worker.name, n, until, hold));
            }
          });
      day.in(change, () -> day.world.crash(day.leader(), 20_000 + day.random.nextLong(9 * S)));
      day.callOff(change - 1, change + 15);
      day.quietFrom = day.until(45);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaders() > 0 && day.cancelled() > 0;
    }
  },

  /** Guard: {@code RecoveryTracker.allTasksKnown}. */
  ENDS_FAR_APART {
    @Override
    public void bring(FaultScenario day) {
      for (int i = 0; i < 12; i++) {
        int tasks = 2 + day.random.nextInt(2);
        day.in(day.between(0, 30), () -> day.world.users.arriveLong(tasks, 25 * S));
      }
      for (double at = 8; at < 80; at += day.between(6, 20)) {
        day.in(at, day::disturbNode);
      }
      day.quietFrom = day.until(95);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaders() > 0 && day.world.checker.toldDone > day.doneBefore;
    }
  };

  private static final long S = 1_000_000;
}
