package org.dewreach.scheduling;

import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.state.ClusterState;
import org.dewreach.wire.JobKind;
import org.dewreach.wire.JobSpec;

/** The CPUs of on-demand machines that one placement pass keeps free for future services. */
final class ServiceHeadroom {
  /**
   * A job of which no task could be placed for this long may place one in the headroom kept for
   * services.
   */
  private static final long EXEMPT_AFTER_MICROS = 60_000_000;

  private final ClusterState clusterState;
  private final double reservedCpus;
  private double freeCpus;
  private boolean freeCpusRead;

  /** Creates the headroom of one placement pass, which keeps this many CPUs free. */
  ServiceHeadroom(ClusterState clusterState, double reservedCpus) {
    this.clusterState = clusterState;
    this.reservedCpus = reservedCpus;
  }

  /**
   * True for jobs that leave headroom for services on on-demand machines, because they may run on
   * spot machines.
   */
  static boolean appliesTo(JobSpec spec) {
    return spec.jobKind() != JobKind.SERVICE && spec.spot();
  }

  /**
   * True if the job may use the headroom kept for services.
   *
   * <p>Guards against a small job, or the rest of a job, that waits forever although it fits into
   * the headroom, because the cloud has no machine for it.
   *
   * @param wallOffsetMicros wall-clock time minus event time
   */
  static boolean isExempt(Job job, long nowMicros, long wallOffsetMicros) {
    long acceptedAt = job.acceptedWallMicros() - wallOffsetMicros;
    return appliesTo(job.spec())
        && nowMicros - Math.max(acceptedAt, job.lastBoundAt()) > EXEMPT_AFTER_MICROS;
  }

  /**
   * Reads the free CPUs before the first job that may run on spot machines is placed. Called for
   * each job in the order of the queue.
   */
  void beforePlacing(JobSpec spec) {
    if (!freeCpusRead && spec.spot()) {
      // Services come first in the queue, so the capacity that they use is already subtracted here.
      freeCpus = clusterState.freeCpus(false);
      freeCpusRead = true;
    }
  }

  /**
   * Allocates on-demand CPUs for one task on the machine, unless they are kept for services.
   *
   * @param exempt true if the task may use the headroom
   * @return false if the task must not be placed on the machine
   */
  boolean tryAllocate(Machine machine, JobSpec spec, boolean exempt) {
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
