package org.dewreach.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.testing.JobSpecBuilder;
import org.dewreach.wire.JobSpec;
import org.junit.jupiter.api.Test;

/** Tests how much of a team's quota is left: {@link Quotas}. */
class QuotasTest {
  private static final JobSpec SMALL = JobSpecBuilder.array("req-1").build();
  private static final JobSpec LARGE = JobSpecBuilder.array("req-2").resources(2, 1, 1).build();

  private final Quotas quotas = new Quotas(Map.of("red", new Settings.Team("red", 0, 10, 0, 3)));

  @Test
  void theScarcestResourceDecides() {
    assertEquals(10, quotas.startableTasks(SMALL, 100));
    assertEquals(3, quotas.startableTasks(LARGE, 100), "3 GPUs at most");
    quotas.add(SMALL, 6);
    assertEquals(2, quotas.startableTasks(LARGE, 100), "4 CPUs left");
  }

  @Test
  void startableTasksAreCappedAtTheRequestedCount() {
    assertEquals(4, quotas.startableTasks(SMALL, 4));
  }

  @Test
  void removedTasksFreeTheirQuota() {
    quotas.add(LARGE, 3);
    assertEquals(0, quotas.startableTasks(LARGE, 100));
    quotas.add(LARGE, -1);
    assertEquals(1, quotas.startableTasks(LARGE, 100));
  }

  /** Guards against a rounding error that makes a task exceed the quota. */
  @Test
  void sumsOfFractionsAreRoundedInFavourOfTheTask() {
    JobSpec tenth = JobSpecBuilder.array("req-3").cpus(0.1).build();
    for (int i = 0; i < 99; i++) {
      quotas.add(tenth, 1);
    }
    assertEquals(1, quotas.startableTasks(tenth, 100));
  }

  @Test
  void anUnknownTeamMayStartNothing() {
    assertEquals(0, quotas.startableTasks(JobSpecBuilder.array("req-4").team("blue").build(), 1));
  }
}
