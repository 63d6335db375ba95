package org.dewreach.placement;

import org.dewreach.wire.JobSpec;

/**
 * Estimates the rate at which services arrive, and the headroom to keep for future arrivals.
 *
 * <p>On average, departures free the capacity that arrivals need; headroom is needed only for the
 * fluctuation of arrivals over the time that a new machine takes to become usable. With n arrivals
 * expected in that time, the headroom is slightly more than the square root of n tasks.
 */
public final class ServiceArrivalRate {
  /** Time constant with which past arrivals decay. */
  private static final double DECAY_TIME_MICROS = 120e6;

  /** No headroom is kept if fewer arrivals than this are expected. */
  private static final double MIN_EXPECTED_ARRIVALS = 0.2;

  private final double standardDeviations;
  private double arrivalsPerMicro;
  private double maxTaskCpus;
  private long lastDecayMicros;

  /** Creates an estimator whose headroom covers this many standard deviations of the arrivals. */
  public ServiceArrivalRate(double standardDeviations) {
    this.standardDeviations = standardDeviations;
  }

  /** Records that a service was accepted. */
  public void recordArrival(JobSpec spec, long nowMicros) {
    decay(nowMicros);
    arrivalsPerMicro += spec.tasks() / DECAY_TIME_MICROS;
    maxTaskCpus = Math.max(maxTaskCpus, spec.cpus());
  }

  private void decay(long nowMicros) {
    if (nowMicros > lastDecayMicros) {
      arrivalsPerMicro *= Math.exp((lastDecayMicros - nowMicros) / DECAY_TIME_MICROS);
      lastDecayMicros = nowMicros;
    }
  }

  /**
   * Returns the number of CPUs to keep free for services, given the time that a new machine takes
   * to become usable.
   */
  public double headroomCpus(long bootMicros, long nowMicros) {
    decay(nowMicros);
    double expected = arrivalsPerMicro * bootMicros;
    return expected < MIN_EXPECTED_ARRIVALS
        ? 0
        : Math.ceil(standardDeviations * Math.sqrt(expected)) * maxTaskCpus;
  }
}
