package org.dewreach.sim;

import static org.dewreach.sim.Clock.SECOND;

import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Outages of the state service that last longer than users may be left without an answer, while the
 * leader goes on under grants: whatever became of a job, some controller has to know it.
 */
class AnswersInOutageTest {
  /** Longer than the 90 s for which the questions about one job may fail. */
  private static final double LONG_OUTAGE = 115;

  /** Short jobs have ended, and their users were told, before the leader crashes. */
  private static final double CRASH = 12;

  /** A leader's crash, its restart and the wait of the restarted node before it gives grants. */
  private static final double CHANGE_OF_LEADER = CRASH + 13;

  /** How a combination is brought about, and what shows that it took place. */
  private enum Combination implements FaultCombination {
    /**
     * Users go on asking about jobs that ended under the leader before. Guards: {@code
     * FinalStates}, which outlives terms, and {@code FinalStateWatcher}.
     */
    ENDED_UNDER_AN_EARLIER_LEADER {
      @Override
      public void schedule(FaultScenario day) {
        crashLeader(day);
        beginOutage(day, CHANGE_OF_LEADER, LONG_OUTAGE);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return jobsEndedUnderEarlierLeader(day);
      }
    },

    /** As above, and the state service is back for some seconds in between. */
    TWO_OUTAGES_AFTER_A_CHANGE_OF_LEADER {
      @Override
      public void schedule(FaultScenario day) {
        crashLeader(day);
        beginOutage(day, CHANGE_OF_LEADER, 57.5);
        beginOutage(day, CHANGE_OF_LEADER + 57.5 + 9, 60);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return jobsEndedUnderEarlierLeader(day);
      }
    },

    /** All controllers were started anew between the ends of the jobs and the outage. */
    ENDED_BEFORE_ALL_RESTARTED {
      @Override
      public void schedule(FaultScenario day) {
        crashLeader(day);
        for (int i = 0; i < Simulation.NODES.size(); i++) {
          String node = Simulation.NODES.get(i);
          day.after(CHANGE_OF_LEADER + 6 * i, () -> day.simulation.controllers.crash(node, SECOND));
        }
        beginOutage(day, CHANGE_OF_LEADER + 18 + 13, LONG_OUTAGE);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaderChanges() > 1 && day.doneAtCrash > 0;
      }
    },

    /**
     * The last tasks of jobs end while nothing can be written. Guard: {@code
     * JobRecordWriter.endInDoubt}.
     */
    ENDS_DURING_THE_OUTAGE {
      @Override
      public void schedule(FaultScenario day) {
        for (double at = 0; at < 8; at += 0.5) {
          day.after(
              at,
              () -> day.simulation.users.submitLongJob(1, (5 + day.random.nextInt(25)) * SECOND));
        }
        beginOutage(day, 12, LONG_OUTAGE);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaderChanges() == 0 && day.simulation.checker.jobsReportedDone > day.doneBefore;
      }
    },

    /** Jobs are cancelled while nothing can be written. Guard: as above. */
    CANCELLED_DURING_THE_OUTAGE {
      @Override
      public void schedule(FaultScenario day) {
        day.cancelLongJobs(3, 20);
        beginOutage(day, 2, LONG_OUTAGE);
      }

      @Override
      public boolean tookPlace(FaultScenario day) {
        return day.leaderChanges() == 0 && day.cancellations() > 3;
      }
    };

    private static void crashLeader(FaultScenario day) {
      for (double at = 0; at < 3; at += 0.5) {
        day.after(at, day.simulation.users::submitShortJob);
      }
      day.after(
          CRASH,
          () -> {
            day.doneAtCrash = day.simulation.checker.jobsReportedDone;
            day.simulation.controllers.crash(day.leaderOrRandomController(), SECOND);
          });
    }

    private static boolean jobsEndedUnderEarlierLeader(FaultScenario day) {
      return day.leaderChanges() == 1 && day.doneAtCrash > 0;
    }

    private static void beginOutage(FaultScenario day, double at, double length) {
      day.after(at, () -> day.simulation.state.outage((long) (length * SECOND)));
      day.faultsEndAt = day.timeAfter(at + length + 5);
    }
  }

  /** Three seeds of each combination; more with -Dsim.seeds, from -Dsim.from on. */
  static Stream<Arguments> combinations() {
    return CombinationRun.seedsOf(Stream.of(Combination.values()));
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("combinations")
  @DisplayName("Every accepted job stays known through an outage of the state service")
  void everyJobStaysKnown(Combination combination, long seed) {
    CombinationRun.assertRulesHold(combination, seed);
  }
}
