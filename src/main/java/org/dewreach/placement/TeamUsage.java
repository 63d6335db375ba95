package org.dewreach.placement;

import org.dewreach.wire.JobSpec;

/** The resources used by all counted tasks of one team. */
final class TeamUsage {
  private double cpus;
  private double gpus;

  /** Adds this number of the job's tasks; a negative number removes them. */
  void add(JobSpec spec, int tasks) {
    cpus += tasks * spec.cpus();
    gpus += tasks * spec.gpus();
  }

  double cpus() {
    return cpus;
  }

  double gpus() {
    return gpus;
  }
}
