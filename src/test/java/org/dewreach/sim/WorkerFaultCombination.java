package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;

import java.util.List;

/** Combinations with workers that are partitioned, unable to report or lost, or report late. */
enum WorkerFaultCombination implements FaultCombination {
  /**
   * Fails without any one of: {@code FailureDetector.leaseExpired}, {@code
   * RecoveryTracker.allTasksKnown}.
   */
  ZONE_PARTITIONED {
    @Override
    public void schedule(FaultScenario scenario) {
      double length = scenario.randomBetween(11, 45);
      String zone = scenario.chanceOneIn(2) ? "a" : "b";
      scenario.simulation.faults.partitionZone(
          zone, scenario.timeAfter(length), scenario.chanceOneIn(2));
      scenario.cancelLongJobs(scenario.randomBetween(-1, 0) + 1, scenario.randomBetween(2, length));
      if (scenario.chanceOneIn(2)) {
        scenario.after(scenario.randomBetween(0, length), scenario::disruptRandomController);
      }
      scenario.faultsEndAt = scenario.timeAfter(length + 10);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.cancellations() > 0;
    }
  },

  /** Fails without {@code SortFirstFit.permitted}. */
  RESTRICTED_TO_ONE_ZONE {
    @Override
    public void schedule(FaultScenario scenario) {
      for (int i = 0; i < 6; i++) {
        scenario.submitLongJob(20 * SECOND);
      }
      for (double at = 5; at < 60; at += scenario.randomBetween(3, 12)) {
        scenario.after(
            at,
            () -> {
              for (String id : scenario.simulation.users.longRunningJobs()) {
                List<SimWorker> runsOn = scenario.simulation.checker.workersRunning(id);
                boolean restricted = scenario.simulation.users.spec(id).zone() != null;
                if (restricted && !runsOn.isEmpty() && scenario.chanceOneIn(3)) {
                  SimWorker lost = runsOn.get(0);
                  if (scenario.chanceOneIn(2)) {
                    lost.announceReclaim(4 * SECOND);
                    scenario.after(4, () -> scenario.simulation.cloud.terminate(lost.name));
                  } else {
                    scenario.simulation.cloud.terminate(lost.name);
                  }
                }
              }
            });
      }
      scenario.faultsEndAt = scenario.timeAfter(70);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.simulation.checker.taskStarts > scenario.taskStartsBefore + 10;
    }
  },

  /** Fails without {@code FailureDetector.leaseExpired}. */
  HEARTBEATS_REFUSED {
    @Override
    public void schedule(FaultScenario scenario) {
      for (double at = 1; at < 60; at += scenario.randomBetween(8, 20)) {
        int share = 200 + scenario.random.nextInt(800);
        double length = scenario.randomBetween(3, 25);
        scenario.after(
            at,
            () ->
                scenario.simulation.faults.refuseRequestsFrom(
                    scenario.simulation.faults.randomWorkers(share), scenario.timeAfter(length)));
        scenario.after(
            at + scenario.randomBetween(-1, length),
            () -> scenario.simulation.users.cancelRunningJobs(3, 0));
      }
      scenario.faultsEndAt = scenario.timeAfter(90);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.cancellations() > 0 && scenario.simulation.expiredWorkerLeases > 0;
    }
  },

  /**
   * Fails without any one of: {@code HeartbeatState.isNewer}, {@code
   * RecoveryTracker.allTasksKnown}.
   */
  STALE_HEARTBEATS {
    @Override
    public void schedule(FaultScenario scenario) {
      scenario.simulation.staleMessages.lateCopyShare = 300;
      for (double at = 1; at < 60; at += scenario.randomBetween(5, 12)) {
        scenario.after(
            at,
            () ->
                scenario
                    .simulation
                    .faults
                    .randomWorkers(200)
                    .forEach(w -> w.hang(scenario.random.nextLong(14 * SECOND))));
        scenario.after(
            at + scenario.randomBetween(0, 5),
            () -> scenario.simulation.users.cancelRunningJobs(1, 0));
        if (scenario.chanceOneIn(2)) {
          scenario.after(at + scenario.randomBetween(0, 5), scenario::disruptRandomController);
        }
      }
      // The other faults do not always cause a leader change, so the leader also crashes once.
      scenario.after(
          scenario.randomBetween(10, 50),
          () ->
              scenario.simulation.controllers.crash(
                  scenario.leaderOrRandomController(),
                  20_000 + scenario.random.nextLong(3 * SECOND)));
      scenario.after(65, () -> scenario.simulation.staleMessages.lateCopyShare = 0);
      // The last copies arrive up to 45 s later.
      scenario.faultsEndAt = scenario.timeAfter(111);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.leaderChanges() > 0 && scenario.cancellations() > 0;
    }
  },

  /**
   * Fails without any one of: {@code HeartbeatState.isNewer}, {@code FailureDetector.leaseExpired}.
   */
  OVERLOADED_CLUSTER {
    @Override
    public void schedule(FaultScenario scenario) {
      scenario.simulation.network.delayRate = 0.02;
      for (double at = 0; at < 60; at += scenario.randomBetween(0.3, 1)) {
        scenario.after(at, () -> scenario.simulation.users.submitRandomJob());
      }
      for (int i = 0; i < 10; i++) {
        scenario.after(scenario.randomBetween(0, 40), () -> scenario.submitLongJob(15 * SECOND));
      }
      scenario.after(80, () -> scenario.simulation.network.delayRate = 0);
      scenario.faultsEndAt = scenario.timeAfter(90);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.simulation.checker.taskStarts > scenario.taskStartsBefore + 60;
    }
  },

  /**
   * Fails without {@code FailureDetector.leaseExpired}; with seed 1 also without {@code
   * Task.directStartUnresolved}.
   */
  DELAYED_COMMANDS {
    @Override
    public void schedule(FaultScenario scenario) {
      scenario.simulation.network.delayRate = scenario.randomBetween(0.05, 0.4);
      for (double at = 1; at < 50; at += scenario.randomBetween(3, 9)) {
        scenario.after(
            at,
            () ->
                scenario
                    .simulation
                    .faults
                    .randomWorkers(300)
                    .forEach(w -> w.hang(SECOND + scenario.random.nextLong(8 * SECOND))));
        scenario.after(
            at + scenario.randomBetween(-1, 3),
            () -> scenario.simulation.users.cancelRunningJobs(1, 0));
      }
      scenario.after(55, () -> scenario.simulation.network.delayRate = 0);
      scenario.faultsEndAt = scenario.timeAfter(70);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.cancellations() > 0;
    }
  },

  /** Fails without {@code RecoveryTracker.allTasksKnown}. */
  DELAYED_HEARTBEATS {
    @Override
    public void schedule(FaultScenario scenario) {
      double change = scenario.randomBetween(2, 4);
      scenario.after(
          change,
          () -> {
            String leader = scenario.leaderOrRandomController();
            List<SimWorker> some = scenario.simulation.faults.randomWorkers(500);
            // Their heartbeats are held back and arrive when the next leader is already active.
            long until = scenario.timeAfter(scenario.randomBetween(2.5, 9));
            for (SimWorker worker : some) {
              for (String controller : Simulation.CONTROLLERS) {
                scenario.simulation.network.cut(worker.name, controller, until, true);
              }
            }
            if (scenario.chanceOneIn(2)) {
              scenario.simulation.controllers.crash(
                  leader, 20_000 + scenario.random.nextLong(5 * SECOND));
            } else {
              scenario.simulation.store.refuse(leader, scenario.timeAfter(12));
            }
          });
      scenario.simulation.staleMessages.lateCopyShare = 200;
      scenario.cancelLongJobs(change - 2, change + 8);
      scenario.after(20, () -> scenario.simulation.staleMessages.lateCopyShare = 0);
      scenario.faultsEndAt = scenario.timeAfter(66);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.leaderChanges() > 0 && scenario.cancellations() > 0;
    }
  };
}
