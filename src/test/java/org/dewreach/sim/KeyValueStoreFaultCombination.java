package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;

/** Combinations around a state service that refuses, is down, slow or writes late. */
enum KeyValueStoreFaultCombination implements FaultCombination {
  /** Guard: see {@link FaultCombinationsTest#leaderThatHasNotLoadedStateRenewsNoLease}. */
  LEADER_REFUSED_THEN_OUTAGE {
    @Override
    public void schedule(FaultScenario day) {
      // All nodes of a zone away for longer than what they were delegated: then cancellations of
      // tasks
      // there are confirmed at once, also while their machines cannot be reached.
      boolean away = day.chanceOneIn(2);
      double refused = away ? day.randomBetween(32, 36) : day.randomBetween(15, 16);
      if (away) {
        double back = refused + day.randomBetween(-0.5, 1);
        day.controllersInOtherZone(day.leaderOrRandomController())
            .forEach(node -> day.simulation.controllers.crash(node, (long) (back * SECOND)));
      }
      boolean atNextLeader = day.chanceOneIn(2);
      day.leaderRefusedThenOutage(
          refused, day.randomBetween(0, 5), day.randomBetween(35, 45), atNextLeader);
      day.cancelLongJobs(refused - (away ? 1.5 : 14), refused + day.randomBetween(0, away ? 1 : 4));
      for (int i = day.random.nextInt(3); i > 0; i--) {
        day.after(
            refused + day.randomBetween(-2, 12),
            () -> day.disruptMachines(day.simulation.faults.randomWorkers(200)));
      }
      if (day.chanceOneIn(3)) {
        day.after(refused + day.randomBetween(-2, 8), day::disruptRandomController);
      }
      if (day.chanceOneIn(4)) {
        day.after(refused - 14, () -> day.simulation.state.lateWrites(300, day.timeAfter(18)));
      }
      day.faultsEndAt = day.timeAfter(refused + 65);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      // A leader may also go on under grants, if the outage begins before its lease ends.
      return day.cancellations() > 0;
    }
  },

  /** Guard: {@code FailureDetector.leaseExpired}, with seed 3. */
  CANCELLED_AS_LEADER_IS_REFUSED {
    @Override
    public void schedule(FaultScenario day) {
      double refused = day.randomBetween(1, 3);
      day.after(
          refused - day.randomBetween(0, 0.3),
          () -> day.simulation.users.cancelNow(14, day.chanceOneIn(2) ? 0 : (long) (9.5 * SECOND)));
      day.leaderRefusedThenOutage(
          refused, day.randomBetween(0.7, 1.3), day.randomBetween(31, 45), false);
      day.faultsEndAt = day.timeAfter(70);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancellations() > 0;
    }
  },

  /**
   * Guard: {@code PendingQueries.endIsBeingWritten}. Answers of the state service that take long
   * leave time for questions between the end's write and its answer.
   */
  CANCELLED_AS_JOB_ENDS {
    @Override
    public void schedule(FaultScenario day) {
      day.simulation.users.cancelAtEnd(700, day.timeAfter(90));
      day.simulation.state.slow(day.timeAfter(90));
      for (double at = 0; at < 80; at += day.randomBetween(0.5, 2)) {
        day.after(at, () -> day.simulation.users.submitRandomJob());
      }
      day.faultsEndAt = day.timeAfter(91);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancellations() + day.simulation.checker.jobsReportedDone - day.doneBefore > 20;
    }
  },

  /** Guard: {@code PendingQueries.endIsBeingWritten}, for which jobs are called off often. */
  SLOW_STORE {
    @Override
    public void schedule(FaultScenario day) {
      day.simulation.state.slow(day.timeAfter(day.randomBetween(10, 40)));
      double refused = day.randomBetween(0, 15);
      day.leaderRefusedThenOutage(
          refused, day.randomBetween(0, 14), day.randomBetween(31, 45), false);
      for (double at = 0; at < 60; at += day.randomBetween(0.3, 2)) {
        day.after(at, () -> day.simulation.users.cancelNow(1, day.chanceOneIn(3) ? 7 * SECOND : 0));
      }
      day.faultsEndAt = day.timeAfter(85);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancellations() > 0 && day.simulation.checker.jobsReportedDone > day.doneBefore;
    }
  },

  /**
   * Guards: {@code RecoveryTracker.allTasksKnown}; with seed 2 the mark in {@code
   * CommitQueue.onConflict}.
   */
  LATE_TRANSACTIONS {
    @Override
    public void schedule(FaultScenario day) {
      day.simulation.state.lateWrites(100 + day.random.nextInt(500), day.timeAfter(50));
      for (double at = 0; at < 50; at += day.randomBetween(1, 5)) {
        day.after(at, () -> day.simulation.users.cancelNow(1, day.chanceOneIn(3) ? 7 * SECOND : 0));
        day.after(at, () -> day.simulation.users.submitRandomJob());
        if (day.chanceOneIn(5)) {
          day.after(at, day::disruptRandomController);
        }
      }
      day.faultsEndAt = day.timeAfter(75);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancellations() > 0;
    }
  };
}
