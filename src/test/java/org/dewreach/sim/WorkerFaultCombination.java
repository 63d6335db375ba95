package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;

import java.util.List;

/** Combinations around workers that are cut off, mute or lost, and around their late messages. */
enum WorkerFaultCombination implements FaultCombination {
  /** Guards: {@code FailureDetector.leaseExpired}, {@code RecoveryTracker.allTasksKnown}. */
  ZONE_PARTITIONED {
    @Override
    public void schedule(FaultScenario day) {
      double length = day.randomBetween(11, 45);
      String zone = day.chanceOneIn(2) ? "a" : "b";
      day.simulation.faults.partitionZone(zone, day.timeAfter(length), day.chanceOneIn(2));
      day.cancelLongJobs(day.randomBetween(-1, 0) + 1, day.randomBetween(2, length));
      if (day.chanceOneIn(2)) {
        day.after(day.randomBetween(0, length), day::disruptRandomController);
      }
      day.faultsEndAt = day.timeAfter(length + 10);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancellations() > 0;
    }
  },

  /** Guard: {@code SortFirstFit.permitted}. */
  RESTRICTED_TO_ONE_ZONE {
    @Override
    public void schedule(FaultScenario day) {
      for (int i = 0; i < 6; i++) {
        day.submitLongJob(20 * SECOND);
      }
      for (double at = 5; at < 60; at += day.randomBetween(3, 12)) {
        day.after(
            at,
            () -> {
              for (String id : day.simulation.users.longRunning()) {
                List<SimWorker> runsOn = day.simulation.checker.workersRunning(id);
                boolean bound = day.simulation.users.spec(id).zone() != null;
                if (bound && !runsOn.isEmpty() && day.chanceOneIn(3)) {
                  SimWorker lost = runsOn.get(0);
                  if (day.chanceOneIn(2)) {
                    lost.announceReclaim(4 * SECOND);
                    day.after(4, () -> day.simulation.cloud.terminate(lost.name));
                  } else {
                    day.simulation.cloud.terminate(lost.name);
                  }
                }
              }
            });
      }
      day.faultsEndAt = day.timeAfter(70);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.simulation.checker.started > day.startedBefore + 10;
    }
  },

  /** Guard: {@code FailureDetector.leaseExpired}. */
  HEARTBEATS_REFUSED {
    @Override
    public void schedule(FaultScenario day) {
      for (double at = 1; at < 60; at += day.randomBetween(8, 20)) {
        int share = 200 + day.random.nextInt(800);
        double length = day.randomBetween(3, 25);
        day.after(
            at,
            () ->
                day.simulation.faults.refuseRequestsFrom(
                    day.simulation.faults.randomWorkers(share), day.timeAfter(length)));
        day.after(at + day.randomBetween(-1, length), () -> day.simulation.users.cancelNow(3, 0));
      }
      day.faultsEndAt = day.timeAfter(90);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancellations() > 0 && day.simulation.leasesLost > 0;
    }
  },

  /** Guards: {@code HeartbeatState.isNewer}, {@code RecoveryTracker.allTasksKnown}. */
  STALE_HEARTBEATS {
    @Override
    public void schedule(FaultScenario day) {
      day.simulation.staleMessages.lateCopies = 300;
      for (double at = 1; at < 60; at += day.randomBetween(5, 12)) {
        day.after(
            at,
            () ->
                day.simulation
                    .faults
                    .randomWorkers(200)
                    .forEach(w -> w.hang(day.random.nextLong(14 * SECOND))));
        day.after(at + day.randomBetween(0, 5), () -> day.simulation.users.cancelNow(1, 0));
        if (day.chanceOneIn(2)) {
          day.after(at + day.randomBetween(0, 5), day::disruptRandomController);
        }
      }
      // The leader ends for sure: the other disturbances do not always change it.
      day.after(
          day.randomBetween(10, 50),
          () ->
              day.simulation.controllers.crash(
                  day.leaderOrRandomController(), 20_000 + day.random.nextLong(3 * SECOND)));
      day.after(65, () -> day.simulation.staleMessages.lateCopies = 0);
      // The last copies come up to 45 s later.
      day.faultsEndAt = day.timeAfter(111);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaderChanges() > 0 && day.cancellations() > 0;
    }
  },

  /** Guards: {@code HeartbeatState.isNewer}, {@code FailureDetector.leaseExpired}. */
  OVERLOADED_CLUSTER {
    @Override
    public void schedule(FaultScenario day) {
      day.simulation.network.delayRate = 0.02;
      for (double at = 0; at < 60; at += day.randomBetween(0.3, 1)) {
        day.after(at, () -> day.simulation.users.submitRandomJob());
      }
      for (int i = 0; i < 10; i++) {
        day.after(day.randomBetween(0, 40), () -> day.submitLongJob(15 * SECOND));
      }
      day.after(80, () -> day.simulation.network.delayRate = 0);
      day.faultsEndAt = day.timeAfter(90);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.simulation.checker.started > day.startedBefore + 60;
    }
  },

  /**
   * Guards: {@code FailureDetector.leaseExpired}; with seed 1 {@code Task.directStartUnresolved}.
   */
  DELAYED_COMMANDS {
    @Override
    public void schedule(FaultScenario day) {
      day.simulation.network.delayRate = day.randomBetween(0.05, 0.4);
      for (double at = 1; at < 50; at += day.randomBetween(3, 9)) {
        day.after(
            at,
            () ->
                day.simulation
                    .faults
                    .randomWorkers(300)
                    .forEach(w -> w.hang(SECOND + day.random.nextLong(8 * SECOND))));
        day.after(at + day.randomBetween(-1, 3), () -> day.simulation.users.cancelNow(1, 0));
      }
      day.after(55, () -> day.simulation.network.delayRate = 0);
      day.faultsEndAt = day.timeAfter(70);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancellations() > 0;
    }
  },

  /** Guard: {@code RecoveryTracker.allTasksKnown}. */
  DELAYED_HEARTBEATS {
    @Override
    public void schedule(FaultScenario day) {
      double change = day.randomBetween(2, 4);
      day.after(
          change,
          () -> {
            String old = day.leaderOrRandomController();
            List<SimWorker> some = day.simulation.faults.randomWorkers(500);
            // What they report to the nodes of which one leads next arrives once that one acts.
            long until = day.timeAfter(day.randomBetween(2.5, 9));
            for (SimWorker worker : some) {
              for (String node : Simulation.NODES) {
                day.simulation.network.cut(worker.name, node, until, true);
              }
            }
            if (day.chanceOneIn(2)) {
              day.simulation.controllers.crash(old, 20_000 + day.random.nextLong(5 * SECOND));
            } else {
              day.simulation.state.refuse(old, day.timeAfter(12));
            }
          });
      day.simulation.staleMessages.lateCopies = 200;
      day.cancelLongJobs(change - 2, change + 8);
      day.after(20, () -> day.simulation.staleMessages.lateCopies = 0);
      day.faultsEndAt = day.timeAfter(66);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaderChanges() > 0 && day.cancellations() > 0;
    }
  };
}
