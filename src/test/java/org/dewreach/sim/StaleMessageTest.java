package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;

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
  /** How a case is brought about, and what shows that it took place. */
  private enum Case implements FaultCombination {
    /**
     * Guards: {@code RecoveryTracker.allTasksKnown}, {@code FailureDetector.leaseExpired}; with
     * seed 10 {@code Task.directStartUnresolved}.
     */
    LATE_COMMANDS_OF_EARLIER_TERM {
      @Override
      public void schedule(FaultScenario day) {
        day.simulation.staleMessages.delayCommands(500, day.timeAfter(60));
        for (double at = 1; at < 56; at += day.randomBetween(10, 14)) {
          submitLongJobs(day, at, 6);
          for (int i = 0; i < 6; i++) {
            day.after(at + day.randomBetween(0, 2), () -> submitAndCancel(day));
          }
          double end = at + day.randomBetween(0.2, 2);
          disruptHalfOfMachines(day, end + day.randomBetween(-0.3, 0.3));
          replaceLeader(day, end);
          cancelSome(day, at, end + 6);
        }
        day.faultsEndAt = day.timeAfter(80);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaderChanges() > 0
            && day.cancellations() > 0
            && day.simulation.staleMessages.staleCommandsDelivered > 0;
      }
    },

    /**
     * Guards: {@code WorkerReport.freshness}, {@code HeartbeatState.isNewer}, {@code
     * RecoveryTracker.allTasksKnown}.
     */
    HEARTBEATS_REPLAYED_TO_NEXT_LEADER {
      @Override
      public void schedule(FaultScenario day) {
        day.simulation.staleMessages.replayHeartbeatsToNextLeader(200, day.timeAfter(60));
        for (double at = 1; at < 50; at += day.randomBetween(12, 16)) {
          double end = at + 4 + day.randomBetween(0, 4);
          submitLongJobs(day, at + 1, 4);
          disruptHalfOfMachines(day, end + day.randomBetween(-0.3, 0.3));
          replaceLeader(day, end);
          cancelSome(day, at, end + 6);
        }
        day.faultsEndAt = day.timeAfter(75);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaderChanges() > 0
            && day.cancellations() > 0
            && day.simulation.staleMessages.replayedHeartbeats > 0;
      }
    },

    /** Guards: {@code RecoveryTracker.allTasksKnown}, {@code FailureDetector.leaseExpired}. */
    MACHINES_BOOT_INSTANTLY {
      @Override
      public void schedule(FaultScenario day) {
        day.simulation.cloud.upAtOnce = true;
        day.simulation.state.lateWrites(100 + day.random.nextInt(400), day.timeAfter(60));
        for (double at = 1; at < 50; at += day.randomBetween(12, 16)) {
          day.after(at, () -> reclaimHalfOfMachines(day));
          submitLongJobs(day, at, 4);
          // The leader has authority for a while yet, but nothing of what it writes is carried out.
          double lost = at + day.randomBetween(0.8, 2);
          double end = lost + day.randomBetween(1.5, 2.5);
          boolean requests = day.chanceOneIn(2);
          day.after(
              lost,
              () -> {
                String from = requests ? day.leaderOrRandomController() : "state";
                String to = requests ? "state" : day.leaderOrRandomController();
                day.simulation.network.cut(from, to, day.timeAfter(2.5), false);
              });
          day.after(
              end,
              () ->
                  partitionWorkers(
                      day, day.simulation.faults.randomWorkers(600), day.randomBetween(5, 9.5)));
          replaceLeader(day, end);
          cancelSome(day, at, end + 5);
        }
        day.faultsEndAt = day.timeAfter(80);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaderChanges() > 0
            && day.cancellations() > 0
            && day.simulation.cloud.upAtOnceCount > 0;
      }
    },

    /**
     * Guards: {@code RecoveryTracker.mayRunUnknownTasks}, {@code RecoveryTracker.allTasksKnown}.
     */
    ALL_TEAMS_AT_QUOTA {
      private boolean full;

      @Override
      public void schedule(FaultScenario day) {
        full = false;
        for (int i = 0; i < 24; i++) {
          day.simulation.users.submitLongJob(6, 100 * SECOND);
        }
        for (double at = 14; at < 60; at += day.randomBetween(12, 16)) {
          long hang = day.chanceOneIn(2) ? (long) (day.randomBetween(4, 9.5) * SECOND) : 0;
          day.after(at, () -> full |= day.simulation.teamsAtTheLimit());
          day.after(at, () -> day.simulation.users.cancelNow(4, hang));
          double end = at + day.randomBetween(-0.5, 1.5);
          disruptHalfOfMachines(day, end);
          replaceLeader(day, end);
          for (double more = end; more < end + 8; more += day.randomBetween(0.2, 0.8)) {
            day.after(more, () -> day.simulation.users.submitLongJob(2, 40 * SECOND));
          }
        }
        day.faultsEndAt = day.timeAfter(85);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaderChanges() > 0 && day.cancellations() > 0 && full;
      }
    },

    /** Guards: {@code FailureDetector.leaseExpired}, {@code RecoveryTracker.allTasksKnown}. */
    HEARTBEATS_ANSWERED_UNDER_GRANTS {
      @Override
      public void schedule(FaultScenario day) {
        double refused = day.randomBetween(1, 3);
        // The leader answers reports until the grants end, after another has won the key; then
        // most machines cannot be reached until their leases are over.
        day.simulation.state.onLeaderKey =
            name ->
                day.after(
                    day.randomBetween(1.1, 1.7),
                    () -> {
                      List<SimWorker> machines = day.simulation.workers();
                      partitionWorkers(
                          day, machines.subList(Math.min(3, machines.size()), machines.size()), 14);
                    });
        day.after(
            refused,
            () -> day.simulation.state.refuse(day.leaderOrRandomController(), day.timeAfter(25)));
        day.faultsEndAt = day.timeAfter(45);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaderChanges() > 0 && day.simulation.leasesLost > 0;
      }
    };

    /** Jobs with tasks that run for long, all within a second. */
    static void submitLongJobs(FaultScenario day, double at, int jobs) {
      for (int i = 0; i < jobs; i++) {
        int tasks = 1 + day.random.nextInt(3);
        day.after(
            at + day.randomBetween(0, 1),
            () -> day.simulation.users.submitLongJob(tasks, 40 * SECOND));
      }
    }

    /** A job that is called off at once, while the starts of its tasks may be on their way. */
    static void submitAndCancel(FaultScenario day) {
      day.simulation.users.submitLongJob(1, 40 * SECOND);
      List<String> ids = day.simulation.users.ids();
      String id = ids.get(ids.size() - 1);
      day.after(
          day.randomBetween(0.1, 1.5), () -> day.simulation.requests.cancelUntilConfirmed(id));
    }

    /** Half of the machines are to be taken within seconds: others are rented for their tasks. */
    static void reclaimHalfOfMachines(FaultScenario day) {
      for (SimWorker worker : day.simulation.faults.randomWorkers(500)) {
        worker.announceReclaim(4 * SECOND);
        day.after(4, () -> day.simulation.cloud.terminate(worker.name));
      }
    }

    static void partitionWorkers(FaultScenario day, List<SimWorker> machines, double seconds) {
      day.simulation.faults.partitionWorkers(machines, day.timeAfter(seconds));
    }

    /** Half of the machines hear nothing, are not heard or hang, for less than a lease. */
    static void disruptHalfOfMachines(FaultScenario day, double at) {
      day.after(at, () -> day.disruptMachines(day.simulation.faults.randomWorkers(500)));
    }

    /** The leader ends, or is refused by the state service until another one leads. */
    static void replaceLeader(FaultScenario day, double at) {
      boolean ends = !day.chanceOneIn(3);
      long back = 20_000 + day.random.nextLong(6 * SECOND);
      day.after(
          at,
          () -> {
            if (ends) {
              day.simulation.controllers.crash(day.leaderOrRandomController(), back);
            } else {
              day.simulation.state.refuse(day.leaderOrRandomController(), day.timeAfter(6));
            }
          });
    }

    static void cancelSome(FaultScenario day, double from, double to) {
      for (int i = 0; i < 3; i++) {
        day.after(day.randomBetween(from, to), () -> day.simulation.users.cancelNow(1, 0));
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
