package org.dewreach.placement;

import org.dewreach.wire.JobSpec;

/** What tasks of one team take together. */
final class TeamUsage {
  private double cpus;
  private double gpus;

  /** Adds so many tasks of the job; a negative number removes them. */
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
