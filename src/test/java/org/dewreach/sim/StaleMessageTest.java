package org.dewreach.sim;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Commands and reports of an earlier term that arrive when a new leader has begun, and what a new
 * leader has to know of machines and limits. Each case is played with several seeds.
 */
class StaleMessageTest {
  private static final long S = 1_000_000;

  /** How a case is brought about, and what shows that it took place. */
  private enum Case implements FaultCombination {
    /**
     * Guards: {@code RecoveryTracker.allTasksKnown}, {@code FailureDetector.leaseExpired}; with
     * seed 10 {@code Task.directStartUnresolved}.
     */
    LATE_COMMANDS {
      @Override
      public void bring(FaultScenario day) {
        day.world.lateCommands(500, day.until(60));
        for (double at = 1; at < 56; at += day.between(10, 14)) {
          arriveSome(day, at, 6);
          for (int i = 0; i < 6; i++) {
            day.in(at + day.between(0, 2), () -> arriveAndCancel(day));
          }
          double end = at + day.between(0.2, 2);
          unreachable(day, end + day.between(-0.3, 0.3));
          endLeader(day, end);
          cancelSome(day, at, end + 6);
        }
        day.quietFrom = day.until(80);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaders() > 0 && day.cancelled() > 0 && day.world.staleCommands > 0;
      }
    },

    /**
     * Guards: the sureness in {@code HeartbeatReconciler.take}, {@code HeartbeatState.isNewer},
     * {@code RecoveryTracker.allTasksKnown}.
     */
    REPORTS_KEPT_FOR_THE_NEXT_LEADER {
      @Override
      public void bring(FaultScenario day) {
        day.world.keepReportsForNextLeader(200, day.until(60));
        for (double at = 1; at < 50; at += day.between(12, 16)) {
          double end = at + 4 + day.between(0, 4);
          arriveSome(day, at + 1, 4);
          unreachable(day, end + day.between(-0.3, 0.3));
          endLeader(day, end);
          cancelSome(day, at, end + 6);
        }
        day.quietFrom = day.until(75);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaders() > 0 && day.cancelled() > 0 && day.world.keptDelivered > 0;
      }
    },

    /** Guards: {@code RecoveryTracker.allTasksKnown}, {@code FailureDetector.leaseExpired}. */
    MACHINES_UP_AT_ONCE {
      @Override
      public void bring(FaultScenario day) {
        day.world.cloud.upAtOnce = true;
        day.world.state.lateWrites(100 + day.random.nextInt(400), day.until(60));
        for (double at = 1; at < 50; at += day.between(12, 16)) {
          day.in(at, () -> recallSome(day));
          arriveSome(day, at, 4);
          // The leader has authority for a while yet, but nothing of what it writes is carried out.
          double lost = at + day.between(0.8, 2);
          double end = lost + day.between(1.5, 2.5);
          boolean requests = day.oneIn(2);
          day.in(
              lost,
              () -> {
                String from = requests ? day.leader() : "state";
                String to = requests ? "state" : day.leader();
                day.world.network.cut(from, to, day.until(2.5), false);
              });
          day.in(end, () -> cutOff(day, day.world.some(600), day.between(5, 9.5)));
          endLeader(day, end);
          cancelSome(day, at, end + 5);
        }
        day.quietFrom = day.until(80);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaders() > 0 && day.cancelled() > 0 && day.world.cloud.upAtOnceCount > 0;
      }
    },

    /**
     * Guards: what may run unseen in {@code Dispatcher.pass}, {@code
     * RecoveryTracker.allTasksKnown}.
     */
    ALL_TEAMS_AT_THE_LIMIT {
      private boolean full;

      @Override
      public void bring(FaultScenario day) {
        full = false;
        for (int i = 0; i < 24; i++) {
          day.world.users.arriveLong(6, 100 * S);
        }
        for (double at = 14; at < 60; at += day.between(12, 16)) {
          long hang = day.oneIn(2) ? (long) (day.between(4, 9.5) * S) : 0;
          day.in(at, () -> full |= day.world.teamsAtTheLimit());
          day.in(at, () -> day.world.users.cancelNow(4, hang));
          double end = at + day.between(-0.5, 1.5);
          unreachable(day, end);
          endLeader(day, end);
          for (double more = end; more < end + 8; more += day.between(0.2, 0.8)) {
            day.in(more, () -> day.world.users.arriveLong(2, 40 * S));
          }
        }
        day.quietFrom = day.until(85);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaders() > 0 && day.cancelled() > 0 && full;
      }
    },

    /** Guards: {@code FailureDetector.leaseExpired}, {@code RecoveryTracker.allTasksKnown}. */
    ANSWERED_UNDER_PROMISES {
      @Override
      public void bring(FaultScenario day) {
        double refused = day.between(1, 3);
        // The leader answers reports until the grants end, after another has won the key; then
        // most machines cannot be reached until their leases are over.
        day.world.state.onLeaderKey =
            name ->
                day.in(
                    day.between(1.1, 1.7),
                    () -> {
                      List<SimWorker> machines = day.world.workers();
                      cutOff(
                          day, machines.subList(Math.min(3, machines.size()), machines.size()), 14);
                    });
        day.in(refused, () -> day.world.state.refuse(day.leader(), day.until(25)));
        day.quietFrom = day.until(45);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaders() > 0 && day.world.leasesLost > 0;
      }
    };

    /** Jobs with tasks that run for long, all within a second. */
    static void arriveSome(FaultScenario day, double at, int jobs) {
      for (int i = 0; i < jobs; i++) {
        int tasks = 1 + day.random.nextInt(3);
        day.in(at + day.between(0, 1), () -> day.world.users.arriveLong(tasks, 40 * S));
      }
    }

    /** A job that is called off at once, while the starts of its tasks may be on their way. */
    static void arriveAndCancel(FaultScenario day) {
      day.world.users.arriveLong(1, 40 * S);
      List<String> ids = day.world.users.ids();
      String id = ids.get(ids.size() - 1);
      day.in(day.between(0.1, 1.5), () -> day.world.users.cancel(id, 0));
    }

    /** Half of the machines are to be taken within seconds: others are rented for their tasks. */
    static void recallSome(FaultScenario day) {
      for (SimWorker worker : day.world.some(500)) {
        worker.recall(4 * S);
        day.in(4, () -> day.world.cloud.take(worker.name));
      }
    }

    static void cutOff(FaultScenario day, List<SimWorker> machines, double seconds) {
      for (SimWorker worker : machines) {
        Simulation.NODES.forEach(
            n -> day.world.network.part(worker.name, n, day.until(seconds), false));
      }
    }

    /** Half of the machines hear nothing, are not heard or hang, for less than a lease. */
    static void unreachable(FaultScenario day, double at) {
      day.in(at, () -> day.disturb(day.world.some(500)));
    }

    /** The leader ends, or is refused by the state service until another one leads. */
    static void endLeader(FaultScenario day, double at) {
      boolean ends = !day.oneIn(3);
      long back = 20_000 + day.random.nextLong(6 * S);
      day.in(
          at,
          () -> {
            if (ends) {
              day.world.crash(day.leader(), back);
            } else {
              day.world.state.refuse(day.leader(), day.until(6));
            }
          });
    }

    static void cancelSome(FaultScenario day, double from, double to) {
      for (int i = 0; i < 3; i++) {
        day.in(day.between(from, to), () -> day.world.users.cancelNow(1, 0));
      }
    }
  }

  /** Three seeds of each case; more with -Dsim.seeds, from -Dsim.from on. */
  static Stream<Arguments> cases() {
    return CombinationRun.seedsOf(Stream.of(Case.values()));
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("cases")
  @DisplayName("The rules hold when messages of an earlier term meet a new leader")
  void rulesHold(Case combination, long seed) {
    CombinationRun.assertRulesHold(combination, seed);
  }
}
