package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;

import java.util.ArrayList;
import java.util.List;

/** Combinations around leaders that change, end or are left alone. */
enum LeaderFaultCombination implements FaultCombination {
  /** Guard: {@code RecoveryTracker.allTasksKnown}. */
  REPEATED_LEADER_CRASHES {
    @Override
    public void schedule(FaultScenario day) {
      for (double at = 1; at < 50; at += day.randomBetween(4, 9)) {
        boolean all = day.chanceOneIn(3);
        day.after(
            at,
            () -> {
              String first = day.randomController();
              for (String node : Simulation.NODES) {
                if (all || node.equals(day.leaderOrRandomController())) {
                  long back = node.equals(first) || !all ? SECOND : 8 * SECOND;
                  day.simulation.controllers.crash(node, 20_000 + day.random.nextLong(back));
                }
              }
            });
        day.after(at + day.randomBetween(0.1, 3), () -> day.simulation.users.cancelNow(1, 0));
      }
      day.faultsEndAt = day.timeAfter(62);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaderChanges() > 3 && day.cancellations() > 0;
    }
  },

  /** Guards: {@code RecoveryTracker.allTasksKnown}, {@code FailureDetector.leaseExpired}. */
  LEADER_PARTITIONED_WITH_WORKERS {
    @Override
    public void schedule(FaultScenario day) {
      double length = day.randomBetween(5, 40);
      String alone = day.leaderOrRandomController();
      day.simulation.faults.partitionFromStateAndPeers(
          alone, day.timeAfter(length), day.chanceOneIn(2));
      day.cancelLongJobs(0, day.randomBetween(1, 8));
      day.after(
          day.randomBetween(0, 6),
          () -> {
            day.simulation.requests.nodes =
                Simulation.NODES.stream().filter(n -> !n.equals(alone)).toList();
            day.after(length, () -> day.simulation.requests.nodes = Simulation.NODES);
          });
      day.faultsEndAt = day.timeAfter(length + 12);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaderChanges() > 0 && day.cancellations() > 0;
    }
  },

  /**
   * Guards: {@code RecoveryTracker.allTasksKnown}; seed 1: the leader condition in {@code
   * CommitQueue.send}.
   */
  TEN_LEADER_CHANGES {
    @Override
    public void schedule(FaultScenario day) {
      day.simulation.faults.changeLeaders(10, 11 * SECOND);
      if (day.chanceOneIn(2)) {
        long lasts = (long) (day.randomBetween(5, 45) * SECOND);
        day.after(day.randomBetween(10, 60), () -> day.simulation.state.outage(lasts));
      }
      for (double at = 1; at < 100; at += day.randomBetween(8, 20)) {
        day.after(at, () -> day.simulation.users.cancelNow(1, day.chanceOneIn(2) ? 0 : 8 * SECOND));
      }
      day.faultsEndAt = day.timeAfter(150);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaderChanges() > 3 && day.cancellations() > 0;
    }
  },

  /** No guard was found yet whose removal turns this one alone red. */
  ALL_CONTROLLERS_DOWN {
    @Override
    public void schedule(FaultScenario day) {
      double away = day.randomBetween(11, 30);
      day.cancelLongJobs(0, 3 + day.randomBetween(0, away));
      day.after(
          3,
          () ->
              Simulation.NODES.forEach(
                  n ->
                      day.simulation.controllers.crash(
                          n, (long) ((away + day.randomBetween(-3, 3)) * SECOND))));
      day.faultsEndAt = day.timeAfter(away + 10);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.simulation.leasesLost > 0 && day.cancellations() > 0;
    }
  },

  /** Guards: {@code RecoveryTracker.allTasksKnown}, {@code FailureDetector.leaseExpired}. */
  LEADER_CRASH_WITH_WORKERS_PARTITIONED {
    @Override
    public void schedule(FaultScenario day) {
      double end = day.randomBetween(1, 3);
      day.after(
          end - day.randomBetween(-1, 1),
          () -> {
            List<SimWorker> some = day.simulation.faults.randomWorkers(500);
            long until = day.timeAfter(day.randomBetween(5, 30));
            if (day.chanceOneIn(2)) {
              day.simulation.faults.dropRepliesTo(some, until);
            } else {
              some.forEach(
                  w ->
                      Simulation.NODES.forEach(
                          n ->
                              day.simulation.network.partition(
                                  w.name, n, until, day.chanceOneIn(2))));
            }
          });
      day.after(
          end,
          () ->
              day.simulation.controllers.crash(
                  day.leaderOrRandomController(), 20_000 + day.random.nextLong(15 * SECOND)));
      day.cancelLongJobs(end, end + day.randomBetween(1, 20));
      day.faultsEndAt = day.timeAfter(45);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaderChanges() > 0 && day.cancellations() > 0;
    }
  },

  /** Guards: {@code RecoveryTracker.allTasksKnown}, {@code FailureDetector.leaseExpired}. */
  LEADER_CRASH_AT_QUOTA {
    @Override
    public void schedule(FaultScenario day) {
      for (int i = 0; i < 20; i++) {
        day.submitLongJob(60 * SECOND);
      }
      double change = day.randomBetween(10, 14);
      List<SimWorker> unheard = new ArrayList<>();
      day.after(
          change - day.randomBetween(0, 1),
          () -> {
            unheard.addAll(day.simulation.faults.randomWorkers(400));
            long until = day.timeAfter(day.randomBetween(4, 25));
            boolean hold = day.chanceOneIn(2);
            for (SimWorker worker : unheard) {
              Simulation.NODES.forEach(
                  n -> day.simulation.network.partition(worker.name, n, until, hold));
            }
          });
      day.after(
          change,
          () ->
              day.simulation.controllers.crash(
                  day.leaderOrRandomController(), 20_000 + day.random.nextLong(9 * SECOND)));
      day.cancelLongJobs(change - 1, change + 15);
      day.faultsEndAt = day.timeAfter(45);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaderChanges() > 0 && day.cancellations() > 0;
    }
  },

  /** Guard: {@code RecoveryTracker.allTasksKnown}. */
  TASKS_END_FAR_APART {
    @Override
    public void schedule(FaultScenario day) {
      for (int i = 0; i < 12; i++) {
        int tasks = 2 + day.random.nextInt(2);
        day.after(
            day.randomBetween(0, 30), () -> day.simulation.users.submitLongJob(tasks, 25 * SECOND));
      }
      for (double at = 8; at < 80; at += day.randomBetween(6, 20)) {
        day.after(at, day::disruptRandomController);
      }
      day.faultsEndAt = day.timeAfter(95);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.leaderChanges() > 0 && day.simulation.checker.jobsReportedDone > day.doneBefore;
    }
  };
}
