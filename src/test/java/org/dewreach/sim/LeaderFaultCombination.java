package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;

import java.util.ArrayList;
import java.util.List;

/** Combinations with leaders that change, crash or are partitioned from their peers. */
enum LeaderFaultCombination implements FaultCombination {
  /** Fails without {@code RecoveryTracker.allTasksKnown}. */
  REPEATED_LEADER_CRASHES {
    @Override
    public void schedule(FaultScenario scenario) {
      for (double at = 1; at < 50; at += scenario.randomBetween(4, 9)) {
        boolean allControllers = scenario.chanceOneIn(3);
        scenario.after(
            at,
            () -> {
              String first = scenario.randomController();
              for (String controller : Simulation.CONTROLLERS) {
                if (allControllers || controller.equals(scenario.leaderOrRandomController())) {
                  long maxRestartMicros =
                      controller.equals(first) || !allControllers ? SECOND : 8 * SECOND;
                  scenario.simulation.controllers.crash(
                      controller, 20_000 + scenario.random.nextLong(maxRestartMicros));
                }
              }
            });
        scenario.after(
            at + scenario.randomBetween(0.1, 3),
            () -> scenario.simulation.users.cancelRunningJobs(1, 0));
      }
      scenario.faultsEndAt = scenario.timeAfter(62);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.leaderChanges() > 3 && scenario.cancellations() > 0;
    }
  },

  /**
   * Fails without any one of: {@code RecoveryTracker.allTasksKnown}, {@code
   * FailureDetector.leaseExpired}.
   */
  LEADER_PARTITIONED_WITH_WORKERS {
    @Override
    public void schedule(FaultScenario scenario) {
      double length = scenario.randomBetween(5, 40);
      String isolated = scenario.leaderOrRandomController();
      scenario.simulation.faults.partitionFromStoreAndPeers(
          isolated, scenario.timeAfter(length), scenario.chanceOneIn(2));
      scenario.cancelLongJobs(0, scenario.randomBetween(1, 8));
      scenario.after(
          scenario.randomBetween(0, 6),
          () -> {
            scenario.simulation.requests.reachableControllers =
                Simulation.CONTROLLERS.stream().filter(n -> !n.equals(isolated)).toList();
            scenario.after(
                length,
                () -> scenario.simulation.requests.reachableControllers = Simulation.CONTROLLERS);
          });
      scenario.faultsEndAt = scenario.timeAfter(length + 12);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.leaderChanges() > 0 && scenario.cancellations() > 0;
    }
  },

  /**
   * Fails without {@code RecoveryTracker.allTasksKnown}; with seed 1 also without the precondition
   * on the leader key in {@code CommitQueue.send}.
   */
  TEN_LEADER_CHANGES {
    @Override
    public void schedule(FaultScenario scenario) {
      scenario.simulation.faults.forceLeaderChanges(10, 11 * SECOND);
      if (scenario.chanceOneIn(2)) {
        long lasts = (long) (scenario.randomBetween(5, 45) * SECOND);
        scenario.after(
            scenario.randomBetween(10, 60), () -> scenario.simulation.store.outage(lasts));
      }
      for (double at = 1; at < 100; at += scenario.randomBetween(8, 20)) {
        scenario.after(
            at,
            () ->
                scenario.simulation.users.cancelRunningJobs(
                    1, scenario.chanceOneIn(2) ? 0 : 8 * SECOND));
      }
      scenario.faultsEndAt = scenario.timeAfter(150);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.leaderChanges() > 3 && scenario.cancellations() > 0;
    }
  },

  /** No code is known yet whose removal makes this combination alone fail. */
  ALL_CONTROLLERS_DOWN {
    @Override
    public void schedule(FaultScenario scenario) {
      double downtime = scenario.randomBetween(11, 30);
      scenario.cancelLongJobs(0, 3 + scenario.randomBetween(0, downtime));
      scenario.after(
          3,
          () ->
              Simulation.CONTROLLERS.forEach(
                  n ->
                      scenario.simulation.controllers.crash(
                          n, (long) ((downtime + scenario.randomBetween(-3, 3)) * SECOND))));
      scenario.faultsEndAt = scenario.timeAfter(downtime + 10);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.simulation.expiredWorkerLeases > 0 && scenario.cancellations() > 0;
    }
  },

  /**
   * Fails without any one of: {@code RecoveryTracker.allTasksKnown}, {@code
   * FailureDetector.leaseExpired}.
   */
  LEADER_CRASH_WITH_WORKERS_PARTITIONED {
    @Override
    public void schedule(FaultScenario scenario) {
      double end = scenario.randomBetween(1, 3);
      scenario.after(
          end - scenario.randomBetween(-1, 1),
          () -> {
            List<SimWorker> some = scenario.simulation.faults.randomWorkers(500);
            long until = scenario.timeAfter(scenario.randomBetween(5, 30));
            if (scenario.chanceOneIn(2)) {
              scenario.simulation.faults.dropRepliesTo(some, until);
            } else {
              some.forEach(
                  w ->
                      Simulation.CONTROLLERS.forEach(
                          n ->
                              scenario.simulation.network.partition(
                                  w.name, n, until, scenario.chanceOneIn(2))));
            }
          });
      scenario.after(
          end,
          () ->
              scenario.simulation.controllers.crash(
                  scenario.leaderOrRandomController(),
                  20_000 + scenario.random.nextLong(15 * SECOND)));
      scenario.cancelLongJobs(end, end + scenario.randomBetween(1, 20));
      scenario.faultsEndAt = scenario.timeAfter(45);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.leaderChanges() > 0 && scenario.cancellations() > 0;
    }
  },

  /**
   * Fails without any one of: {@code RecoveryTracker.allTasksKnown}, {@code
   * FailureDetector.leaseExpired}.
   */
  LEADER_CRASH_AT_QUOTA {
    @Override
    public void schedule(FaultScenario scenario) {
      for (int i = 0; i < 20; i++) {
        scenario.submitLongJob(60 * SECOND);
      }
      double change = scenario.randomBetween(10, 14);
      List<SimWorker> partitioned = new ArrayList<>();
      scenario.after(
          change - scenario.randomBetween(0, 1),
          () -> {
            partitioned.addAll(scenario.simulation.faults.randomWorkers(400));
            long until = scenario.timeAfter(scenario.randomBetween(4, 25));
            boolean hold = scenario.chanceOneIn(2);
            for (SimWorker worker : partitioned) {
              Simulation.CONTROLLERS.forEach(
                  n -> scenario.simulation.network.partition(worker.name, n, until, hold));
            }
          });
      scenario.after(
          change,
          () ->
              scenario.simulation.controllers.crash(
                  scenario.leaderOrRandomController(),
                  20_000 + scenario.random.nextLong(9 * SECOND)));
      scenario.cancelLongJobs(change - 1, change + 15);
      scenario.faultsEndAt = scenario.timeAfter(45);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.leaderChanges() > 0 && scenario.cancellations() > 0;
    }
  },

  /** Fails without {@code RecoveryTracker.allTasksKnown}. */
  TASKS_END_FAR_APART {
    @Override
    public void schedule(FaultScenario scenario) {
      for (int i = 0; i < 12; i++) {
        int tasks = 2 + scenario.random.nextInt(2);
        scenario.after(
            scenario.randomBetween(0, 30),
            () -> scenario.simulation.users.submitLongJob(tasks, 25 * SECOND));
      }
      for (double at = 8; at < 80; at += scenario.randomBetween(6, 20)) {
        scenario.after(at, scenario::disruptRandomController);
      }
      scenario.faultsEndAt = scenario.timeAfter(95);
    }

    @Override
    public boolean tookPlace(FaultScenario scenario) {
      return scenario.leaderChanges() > 0
          && scenario.simulation.checker.jobsReportedDone > scenario.doneBefore;
    }
  };
}
