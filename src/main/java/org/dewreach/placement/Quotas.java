package org.dewreach.placement;

import java.util.HashMap;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.wire.JobSpec;

/** What each team's bound tasks take of its quota. A task counts until it is proven gone. */
public final class Quotas {
  /** Rounding errors of the sums over all tasks that come and go are smaller. */
  private static final double TOLERANCE = 1e-6;

  private final Map<String, Settings.Team> teams;
  private final Map<String, TeamUsage> usages = new HashMap<>();

  /** Creates the accounts of these teams, without any bound task. */
  public Quotas(Map<String, Settings.Team> teams) {
    this.teams = teams;
  }

  /** Adds so many tasks of the job to what its team uses; a negative number removes them. */
  public void add(JobSpec spec, int tasks) {
    usages.computeIfAbsent(spec.team(), name -> new TeamUsage()).add(spec, tasks);
  }

  /** How many more tasks of the job its team may start, at most the number given. */
  public int startableTasks(JobSpec spec, int most) {
    Settings.Team team = teams.get(spec.team());
    if (team == null) {
      return 0;
    }
    TeamUsage usage = usages.getOrDefault(spec.team(), new TeamUsage());
    double byCpu = (team.cpusMax() - usage.cpus() + TOLERANCE) / spec.cpus();
    double byGpu =
        spec.gpus() > 0
            ? (team.gpusMax() - usage.gpus() + TOLERANCE) / spec.gpus()
            : Double.MAX_VALUE;
    return (int) Math.max(0, Math.min(most, Math.min(byCpu, byGpu)));
  }
}
