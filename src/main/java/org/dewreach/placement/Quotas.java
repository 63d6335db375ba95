package org.dewreach.placement;

import java.util.HashMap;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.wire.JobSpec;

/**
 * Tracks how much of each team's quota its bound tasks use. A task counts until it is proven to be
 * gone.
 */
public final class Quotas {
  /** Larger than the rounding errors of the sums to which tasks are added and subtracted. */
  private static final double USAGE_TOLERANCE = 1e-6;

  private final Map<String, Settings.Team> teams;
  private final Map<String, TeamUsage> usages = new HashMap<>();

  /** Creates the accounting for these teams, without any bound task. */
  public Quotas(Map<String, Settings.Team> teams) {
    this.teams = teams;
  }

  /** Adds this number of the job's tasks to its team's usage; a negative number removes them. */
  public void add(JobSpec spec, int tasks) {
    usages.computeIfAbsent(spec.team(), name -> new TeamUsage()).add(spec, tasks);
  }

  /** Returns how many more tasks of the job its team may start, at most {@code maxTasks}. */
  public int startableTasks(JobSpec spec, int maxTasks) {
    Settings.Team team = teams.get(spec.team());
    if (team == null) {
      return 0;
    }
    TeamUsage usage = usages.getOrDefault(spec.team(), new TeamUsage());
    double byCpu = (team.cpuQuota() - usage.cpus() + USAGE_TOLERANCE) / spec.cpus();
    double byGpu =
        spec.gpus() > 0
            ? (team.gpuQuota() - usage.gpus() + USAGE_TOLERANCE) / spec.gpus()
            : Double.MAX_VALUE;
    return (int) Math.max(0, Math.min(maxTasks, Math.min(byCpu, byGpu)));
  }
}
