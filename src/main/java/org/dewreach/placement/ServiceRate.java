package org.dewreach.placement;

import org.dewreach.wire.JobSpec;

/**
 * The rate at which services arrive, and how much room to keep for those to come.
 *
 * <p>On average, departures make room for arrivals; what has to be kept is for their unevenness
 * over the time that a new machine takes. With n arrivals expected in that time, that is a little
 * more than the root of n.
 */
public final class ServiceRate {
  /** Arrivals are forgotten over about this long. A default of this project. */
  private static final double MEMORY_MICROS = 120e6;

  /** With fewer arrivals expected no room is kept. */
  private static final double MIN_EXPECTED_ARRIVALS = 0.2;

  private final double standardDeviations;
  private double perMicro;
  private double largestCpus;
  private long lastMicros;

  /** Keeps room for so many standard deviations of the arrivals. */
  public ServiceRate(double standardDeviations) {
    this.standardDeviations = standardDeviations;
  }

  /** A service was accepted. */
  public void arrived(JobSpec spec, long nowMicros) {
    decay(nowMicros);
    perMicro += spec.tasks() / MEMORY_MICROS;
    largestCpus = Math.max(largestCpus, spec.cpus());
  }

  private void decay(long nowMicros) {
    if (nowMicros > lastMicros) {
      perMicro *= Math.exp((lastMicros - nowMicros) / MEMORY_MICROS);
      lastMicros = nowMicros;
    }
  }

  /** CPUs to keep free for services when a new machine takes the time given. */
  public double headroomCpus(long bootMicros, long nowMicros) {
    decay(nowMicros);
    double expected = perMicro * bootMicros;
    return expected < MIN_EXPECTED_ARRIVALS
        ? 0
        : Math.ceil(standardDeviations * Math.sqrt(expected)) * largestCpus;
  }
}
