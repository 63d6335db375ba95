package org.dewreach.placement;

import org.dewreach.wire.JobSpec;

/**
 * The rate at which services arrive, and how much room to keep for those to come.
 *
 * <p>On average, departures make room for arrivals; what has to be kept is for their unevenness
 * over the time that a new machine takes. With n arrivals expected in that time, that is a little
 * more than the root of n.
 */
public final class ServiceArrivalRate {
  /** Arrivals are forgotten over about this long. A default of this project. */
  private static final double DECAY_TIME_MICROS = 120e6;

  /** With fewer arrivals expected no room is kept. */
  private static final double MIN_EXPECTED_ARRIVALS = 0.2;

  private final double standardDeviations;
  private double arrivalsPerMicro;
  private double maxTaskCpus;
  private long lastDecayMicros;

  /** Keeps room for so many standard deviations of the arrivals. */
  public ServiceArrivalRate(double standardDeviations) {
    this.standardDeviations = standardDeviations;
  }

  /** A service was accepted. */
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

  /** CPUs to keep free for services when a new machine takes the time given. */
  public double headroomCpus(long bootMicros, long nowMicros) {
    decay(nowMicros);
    double expected = arrivalsPerMicro * bootMicros;
    return expected < MIN_EXPECTED_ARRIVALS
        ? 0
        : Math.ceil(standardDeviations * Math.sqrt(expected)) * maxTaskCpus;
  }
}
