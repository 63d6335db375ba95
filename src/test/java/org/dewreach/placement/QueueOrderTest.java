package org.dewreach.placement;

import static org.dewreach.testing.ClusterFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.model.Job;
import org.dewreach.model.JobPhase;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.JobSpec;
import org.dewreach.wire.Priority;
import org.junit.jupiter.api.Test;

/** Tests the order in which waiting jobs are placed: {@link QueueOrder}. */
class QueueOrderTest {
  private final QueueOrder order =
      new QueueOrder(
          Map.of(
              "red", new Settings.Team("red", 10, 100, 0, 0),
              "none", new Settings.Team("none", 0, 100, 0, 0)),
          List.of(
              new Settings.Objective(
                  Settings.ObjectiveKind.FINISH_WITHIN, "scan", 100 * SECOND, 0.9, 0)));

  private static Job job(
      String id, String team, Priority priority, int tasks, long deadlineS, long acceptedS) {
    JobSpec spec =
        JobSpecBuilder.array(id)
            .jobClass("class")
            .team(team)
            .priority(priority)
            .tasks(tasks)
            .deadlineMicros(deadlineS < 0 ? -1 : deadlineS * SECOND)
            .build();
    return new Job(spec, acceptedS * SECOND, true, JobPhase.ACTIVE);
  }

  private List<Job> ordered(List<Job> jobs, long wallMicros) {
    return order.order(jobs, job -> true, wallMicros);
  }

  @Test
  void priorityThenGuaranteeThenAge() {
    Job old = job("req-1", "none", Priority.NORMAL, 5, -1, 0);
    Job young = job("req-2", "none", Priority.NORMAL, 5, -1, 1);
    Job guaranteed = job("req-3", "red", Priority.NORMAL, 5, -1, 2);
    Job highPriority = job("req-4", "none", Priority.HIGH, 5, -1, 3);
    assertEquals(
        List.of(highPriority, guaranteed, old, young),
        ordered(List.of(young, old, guaranteed, highPriority), 5 * SECOND));
  }

  /** Guards against a burst of jobs that makes every job slightly late. */
  @Test
  void jobsThatCanMeetTheirTargetGoFirst() {
    Job late = job("req-1", "none", Priority.NORMAL, 1, 20, 0);
    Job large = job("req-2", "none", Priority.NORMAL, 50, 200, 1);
    Job small = job("req-3", "none", Priority.NORMAL, 5, 200, 2);
    Job urgent = job("req-4", "none", Priority.NORMAL, 60, 80, 3);
    assertEquals(
        List.of(urgent, small, large, late),
        ordered(List.of(late, large, small, urgent), 60 * SECOND));
  }

  @Test
  void theGuaranteeCountsEarlierUnfinishedJobsOfTheTeam() {
    Job first = job("req-1", "red", Priority.NORMAL, 6, -1, 0);
    Job second = job("req-2", "red", Priority.NORMAL, 6, -1, 1);
    assertEquals(Set.of(first), order.guaranteed(List.of(second, first)));
  }

  /** Guards against starvation of a large or late job behind newer, smaller ones. */
  @Test
  void everySecondOrderingGoesByAgeOnceAJobHasWaitedLong() {
    Job old = job("req-1", "none", Priority.NORMAL, 500, 900, -30);
    old.markDone(0);
    Job started = job("req-2", "none", Priority.NORMAL, 500, 900, -50);
    started.markDone(0);
    Job small = job("req-3", "red", Priority.NORMAL, 1, 200, 129);
    Job highPriority = job("req-4", "none", Priority.HIGH, 1, -1, 129);
    List<Job> jobs = List.of(small, started, old, highPriority);
    int orderingsByAge = 0;
    for (int pass = 0; pass < 30; pass++) {
      List<Job> now = ordered(jobs, 130 * SECOND);
      assertEquals(highPriority, now.get(0), "priority still comes first");
      orderingsByAge += now.equals(List.of(highPriority, started, old, small)) ? 1 : 0;
    }
    assertEquals(15, orderingsByAge);
  }

  /** Guards against a job that never gets its first task. */
  @Test
  void aStarvedJobComesFirst() {
    Job old = job("req-1", "none", Priority.NORMAL, 500, 900, 0);
    Job small = job("req-2", "red", Priority.NORMAL, 1, 200, 150);
    assertEquals(List.of(old, small), ordered(List.of(small, old), 150 * SECOND));
    assertEquals(true, QueueOrder.isStarved(old, 150 * SECOND));
    old.markDone(3);
    assertEquals(false, QueueOrder.isStarved(old, 150 * SECOND));
  }

  @Test
  void noOrderingGoesByAgeWhileNoJobHasWaitedLong() {
    Job large = job("req-1", "none", Priority.NORMAL, 500, 900, 50);
    Job small = job("req-2", "red", Priority.NORMAL, 1, 200, 119);
    for (int pass = 0; pass < 40; pass++) {
      assertEquals(small, ordered(List.of(large, small), 120 * SECOND).get(0));
    }
  }
}
