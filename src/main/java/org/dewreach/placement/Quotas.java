package org.dewreach.placement;

import java.util.HashMap;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.wire.JobSpec;

/** What each team's bound tasks take. A task counts until it is proven gone. */
public final class Quotas {
  private static final double EPS = 1e-6;

  private static final class Use {
    double cpus;
    double gpus;
  }

  private final Map<String, Settings.Team> teams;
  private final Map<String, Use> uses = new HashMap<>();

  /** Creates the accounts of these teams, without any bound task. */
  public Quotas(Map<String, Settings.Team> teams) {
    this.teams = teams;
  }

  /** Adds so many tasks of the job to what its team uses; a negative number removes them. */
  public void add(JobSpec spec, int tasks) {
    Use use = uses.computeIfAbsent(spec.team(), name -> new Use());
    use.cpus += tasks * spec.cpus();
    use.gpus += tasks * spec.gpus();
  }

  /** The CPUs that the team's bound tasks take. */
  public double cpus(String team) {
    Use use = uses.get(team);
    return use == null ? 0 : use.cpus;
  }

  /** How many more tasks of the job its team may start, at most the number asked for. */
  public int freeCapacity(JobSpec spec, int most) {
    Settings.Team team = teams.get(spec.team());
    if (team == null) {
      return 0;
    }
    Use use = uses.getOrDefault(spec.team(), new Use());
    double byCpu = (team.cpusMax() - use.cpus + EPS) / spec.cpus();
    double byGpu =
        spec.gpus() > 0 ? (team.gpusMax() - use.gpus + EPS) / spec.gpus() : Double.MAX_VALUE;
    return (int) Math.max(0, Math.min(most, Math.min(byCpu, byGpu)));
  }
}
