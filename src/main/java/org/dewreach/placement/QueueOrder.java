package org.dewreach.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.job.Job;

/** The order in which waiting jobs are placed: urgency, then guarantee, then age. */
public final class QueueOrder {
  private static final Comparator<Job> BY_AGE =
      Comparator.comparingLong(Job::acceptedWallMicros).thenComparing(Job::id);

  private final Map<String, Settings.Team> teams;

  public QueueOrder(Map<String, Settings.Team> teams) {
    this.teams = teams;
  }

  /** The jobs in the order of placement. */
  public List<Job> order(Collection<Job> jobs) {
    Set<Job> guaranteed = guaranteed(jobs);
    List<Job> order = new ArrayList<>(jobs);
    order.sort(
        Comparator.comparing((Job job) -> job.spec().urgency())
            .thenComparing(job -> guaranteed.contains(job) ? 0 : 1)
            .thenComparing(BY_AGE));
    return order;
  }

  /** Jobs that fit into their team's guarantee together with its earlier unfinished jobs. */
  public Set<Job> guaranteed(Collection<Job> jobs) {
    List<Job> byAge = new ArrayList<>(jobs);
    byAge.sort(BY_AGE);
    Map<String, double[]> taken = new HashMap<>();
    Set<Job> guaranteed = new HashSet<>();
    for (Job job : byAge) {
      Settings.Team team = teams.get(job.spec().team());
      if (team == null) {
        continue;
      }
      double[] sum = taken.computeIfAbsent(team.name(), name -> new double[2]);
      sum[0] += job.spec().tasks() * job.spec().cpus();
      sum[1] += job.spec().tasks() * job.spec().gpus();
      if (sum[0] <= team.cpus() + 1e-9 && sum[1] <= team.gpus() + 1e-9) {
        guaranteed.add(job);
      }
    }
    return guaranteed;
  }
}
