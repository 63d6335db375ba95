package org.dewreach.sim;

import java.util.List;

/** Combinations around workers that are cut off, mute or lost, and around their late messages. */
enum WorkerFaultCombination implements FaultCombination {
  /** Guards: {@code FailureDetector.leaseExpired}, {@code RecoveryTracker.allTasksKnown}. */
  CUT_ZONE {
    @Override
    public void bring(FaultScenario day) {
      double length = day.between(11, 45);
      String zone = day.oneIn(2) ? "a" : "b";
      day.world.cutZone(zone, day.until(length), day.oneIn(2));
      day.callOff(day.between(-1, 0) + 1, day.between(2, length));
      if (day.oneIn(2)) {
        day.in(day.between(0, length), day::disturbNode);
      }
      day.quietFrom = day.until(length + 10);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancelled() > 0;
    }
  },

  /** Guard: {@code SortFirstFit.permitted}. */
  BOUND_TO_ONE_ZONE {
    @Override
    public void bring(FaultScenario day) {
      for (int i = 0; i < 6; i++) {
        day.arriveLong(20 * S);
      }
      for (double at = 5; at < 60; at += day.between(3, 12)) {
        day.in(
            at,
            () -> {
              for (String id : day.world.users.longRunning()) {
                List<SimWorker> runsOn = day.world.checker.runsOn(id);
                boolean bound = day.world.users.spec(id).zone() != null;
                if (bound && !runsOn.isEmpty() && day.oneIn(3)) {
                  SimWorker lost = runsOn.get(0);
                  if (day.oneIn(2)) {
                    lost.recall(4 * S);
                    day.in(4, () -> day.world.cloud.take(lost.name));
                  } else {
                    day.world.cloud.take(lost.name);
                  }
                }
              }
            });
      }
      day.quietFrom = day.until(70);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.world.checker.started > day.startedBefore + 10;
    }
  },

  /** Guard: {@code FailureDetector.leaseExpired}. */
  MUTE_MACHINES {
    @Override
    public void bring(FaultScenario day) {
      for (double at = 1; at < 60; at += day.between(8, 20)) {
        int share = 200 + day.random.nextInt(800);
        double length = day.between(3, 25);
        day.in(at, () -> day.world.mute(day.world.some(share), day.until(length)));
        day.in(at + day.between(-1, length), () -> day.world.users.cancelNow(3, 0));
      }
      day.quietFrom = day.until(90);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancelled() > 0 && day.world.leasesLost > 0;
    }
  },

  /** Guards: {@code HeartbeatState.isNewer}, {@code RecoveryTracker.allTasksKnown}. */
  OLD_REPORTS {
    @Override
    public void bring(FaultScenario day) {
      day.world.lateCopies = 300;
      for (double at = 1; at < 60; at += day.between(5, 12)) {
        day.in(at, () -> day.world.some(200).forEach(w -> w.hang(day.random.nextLong(14 * S))));
        day.in(at + day.between(0, 5), () -> day.world.users.cancelNow(1, 0));
        if (day.oneIn(2)) {
          day.in(at + day.between(0, 5), day::disturbNode);
        }
      }
      // The leader ends for sure: the other disturbances do not always change it.
      day.in(
          day.between(10, 50),
          () -> day.world.crash(day.leader(), 20_000 + day.random.nextLong(3 * S)));
      day.in(65, () -> day.world.lateCopies = 0);
      // The last copies come up to 45 s later.
      day.quietFrom = day.until(111);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaders() > 0 && day.cancelled() > 0;
    }
  },

  /** Guards: {@code HeartbeatState.isNewer}, {@code FailureDetector.leaseExpired}. */
  MORE_WORK_THAN_ROOM {
    @Override
    public void bring(FaultScenario day) {
      day.world.network.heldUp = 0.02;
      for (double at = 0; at < 60; at += day.between(0.3, 1)) {
        day.in(at, () -> day.world.users.arrive());
      }
      for (int i = 0; i < 10; i++) {
        day.in(day.between(0, 40), () -> day.arriveLong(15 * S));
      }
      day.in(80, () -> day.world.network.heldUp = 0);
      day.quietFrom = day.until(90);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.world.checker.started > day.startedBefore + 60;
    }
  },

  /**
   * Guards: {@code FailureDetector.leaseExpired}; with seed 1 {@code Task.directStartUnresolved}.
   */
  HELD_COMMANDS {
    @Override
    public void bring(FaultScenario day) {
      day.world.network.heldUp = day.between(0.05, 0.4);
      for (double at = 1; at < 50; at += day.between(3, 9)) {
        day.in(at, () -> day.world.some(300).forEach(w -> w.hang(S + day.random.nextLong(8 * S))));
        day.in(at + day.between(-1, 3), () -> day.world.users.cancelNow(1, 0));
      }
      day.in(55, () -> day.world.network.heldUp = 0);
      day.quietFrom = day.until(70);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancelled() > 0;
    }
  },

  /** Guard: {@code RecoveryTracker.allTasksKnown}. */
  HELD_REPORT {
    @Override
    public void bring(FaultScenario day) {
      double change = day.between(2, 4);
      day.in(
          change,
          () -> {
            String old = day.leader();
            List<SimWorker> some = day.world.some(500);
            // What they report to the nodes of which one leads next arrives once that one acts.
            long until = day.until(day.between(2.5, 9));
            for (SimWorker worker : some) {
              for (String node : Simulation.NODES) {
                day.world.network.cut(worker.name, node, until, true);
              }
            }
            if (day.oneIn(2)) {
              day.world.crash(old, 20_000 + day.random.nextLong(5 * S));
            } else {
              day.world.state.refuse(old, day.until(12));
            }
          });
      day.world.lateCopies = 200;
      day.callOff(change - 2, change + 8);
      day.in(20, () -> day.world.lateCopies = 0);
      day.quietFrom = day.until(66);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaders() > 0 && day.cancelled() > 0;
    }
  };

  private static final long S = 1_000_000;
}
