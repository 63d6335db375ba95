package org.dewreach.scheduling;

import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;

/** The room on on-demand machines that one placement pass keeps for services to come. */
final class ServiceHeadroom {
  /**
   * A job that has waited for its first task for this long gets that from the room kept for
   * services. A default of this project.
   */
  private static final long EXEMPT_AFTER_MICROS = 60_000_000;

  private final ClusterState clusterState;
  private final double reservedCpus;
  private double freeCpus;
  private boolean measured;

  /** Keeps so many CPUs free. */
  ServiceHeadroom(ClusterState clusterState, double reservedCpus) {
    this.clusterState = clusterState;
    this.reservedCpus = reservedCpus;
  }

  /** True for work that leaves room for services on on-demand machines: it may run on spot ones. */
  static boolean appliesTo(JobSpec spec) {
    return spec.jobKind() != JobKind.SERVICE && spec.spot();
  }

  /**
   * True for a job that is let into the room kept for services.
   *
   * <p>Guards against a small job that waits without end beside that room, where the cloud has no
   * machine for it.
   */
  static boolean isExempt(Job job, long wallMicros) {
    return appliesTo(job.spec())
        && job.doneCount() == 0
        && !job.hasBoundTasks()
        && wallMicros - job.acceptedWallMicros() > EXEMPT_AFTER_MICROS;
  }

  /** The jobs of the queue are told in its order, before each is placed. */
  void beforePlacing(JobSpec spec) {
    if (!measured && spec.spot()) {
      // Services come first in the queue, so what they take is gone from this already.
      freeCpus = clusterState.freeCpus(false);
      measured = true;
    }
  }

  /**
   * Takes room for one task on the machine, unless that room is kept for services.
   *
   * @param exempt true if it may be taken all the same
   * @return false if it is not taken
   */
  boolean take(Machine machine, JobSpec spec, boolean exempt) {
    if (machine.spot() || !appliesTo(spec)) {
      return true;
    }
    if (freeCpus - spec.cpus() < reservedCpus && !exempt) {
      return false;
    }
    freeCpus -= spec.cpus();
    return true;
  }
}
