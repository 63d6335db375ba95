package org.dewreach.sim;

/** Combinations around a state service that refuses, is down, slow or writes late. */
enum StateServiceFaultCombination implements FaultCombination {
  /** Guard: see {@link FaultCombinationsTest#aLeaderThatHasNotLoadedTheStateRenewsNoLease}. */
  REFUSED_THEN_OUTAGE {
    @Override
    public void bring(FaultScenario day) {
      // All nodes of a zone away for longer than what they were delegated: then cancellations of
      // tasks
      // there are confirmed at once, also while their machines cannot be reached.
      boolean away = day.oneIn(2);
      double refused = away ? day.between(32, 36) : day.between(15, 16);
      if (away) {
        double back = refused + day.between(-0.5, 1);
        day.otherZone(day.leader()).forEach(node -> day.world.crash(node, (long) (back * S)));
      }
      boolean atNextLeader = day.oneIn(2);
      day.refusedThenOutage(refused, day.between(0, 5), day.between(35, 45), atNextLeader);
      day.callOff(refused - (away ? 1.5 : 14), refused + day.between(0, away ? 1 : 4));
      for (int i = day.random.nextInt(3); i > 0; i--) {
        day.in(refused + day.between(-2, 12), () -> day.disturb(day.world.some(200)));
      }
      if (day.oneIn(3)) {
        day.in(refused + day.between(-2, 8), day::disturbNode);
      }
      if (day.oneIn(4)) {
        day.in(refused - 14, () -> day.world.state.lateWrites(300, day.until(18)));
      }
      day.quietFrom = day.until(refused + 65);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      // A leader may also go on under grants, if the outage begins before its lease ends.
      return day.cancelled() > 0;
    }
  },

  /** Guard: {@code FailureDetector.leaseExpired}, with seed 3. */
  CANCELLED_AT_THE_REFUSAL {
    @Override
    public void bring(FaultScenario day) {
      double refused = day.between(1, 3);
      day.in(
          refused - day.between(0, 0.3),
          () -> day.world.users.cancelNow(14, day.oneIn(2) ? 0 : (long) (9.5 * S)));
      day.refusedThenOutage(refused, day.between(0.7, 1.3), day.between(31, 45), false);
      day.quietFrom = day.until(70);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancelled() > 0;
    }
  },

  /**
   * Guard: {@code PendingQueries.endIsBeingWritten}. Answers of the state service that take long
   * leave time for questions between the end's write and its answer.
   */
  REQUEST_AT_THE_END {
    @Override
    public void bring(FaultScenario day) {
      day.world.users.cancelAtEnd(700, day.until(90));
      day.world.state.slow(day.until(90));
      for (double at = 0; at < 80; at += day.between(0.5, 2)) {
        day.in(at, () -> day.world.users.arrive());
      }
      day.quietFrom = day.until(91);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancelled() + day.world.checker.toldDone - day.doneBefore > 20;
    }
  },

  /** Guard: {@code PendingQueries.endIsBeingWritten}, for which jobs are called off often. */
  SLOW_STATE {
    @Override
    public void bring(FaultScenario day) {
      day.world.state.slow(day.until(day.between(10, 40)));
      double refused = day.between(0, 15);
      day.refusedThenOutage(refused, day.between(0, 14), day.between(31, 45), false);
      for (double at = 0; at < 60; at += day.between(0.3, 2)) {
        day.in(at, () -> day.world.users.cancelNow(1, day.oneIn(3) ? 7 * S : 0));
      }
      day.quietFrom = day.until(85);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancelled() > 0 && day.world.checker.toldDone > day.doneBefore;
    }
  },

  /**
   * Guards: {@code RecoveryTracker.allTasksKnown}; with seed 2 the mark in {@code
   * CommitQueue.onConflict}.
   */
  LATE_TRANSACTIONS {
    @Override
    public void bring(FaultScenario day) {
      day.world.state.lateWrites(100 + day.random.nextInt(500), day.until(50));
      for (double at = 0; at < 50; at += day.between(1, 5)) {
        day.in(at, () -> day.world.users.cancelNow(1, day.oneIn(3) ? 7 * S : 0));
        day.in(at, () -> day.world.users.arrive());
        if (day.oneIn(5)) {
          day.in(at, day::disturbNode);
        }
      }
      day.quietFrom = day.until(75);
    }

    @Override
    public boolean tookPlace(FaultScenario day) {
      return day.cancelled() > 0;
    }
  };

  private static final long S = 1_000_000;
}
