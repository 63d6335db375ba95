package org.dewreach.model;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides when and where the tasks of a job are retried after failures: the job avoids the machines
 * on which its tasks failed, and its pause grows with the number of these machines.
 */
public final class RetryBackoff {
  private static final int MAX_AVOIDED_MACHINES = 8;

  /**
   * After failures on this many machines in a row, without progress in between, the job rather than
   * the machines is presumed to be the cause.
   */
  private static final int REPEATED_FAILURE_THRESHOLD = 2;

  /** How long a job avoids a machine on which one of its tasks failed. */
  private static final long MACHINE_AVOIDANCE_MICROS = 60_000_000;

  /** The base of the pause of a job that fails repeatedly; it is doubled for each failure. */
  private static final long BASE_PAUSE_MICROS = 500_000;

  private static final int MAX_PAUSE_DOUBLINGS = 7;
  private static final long MAX_PAUSE_MICROS = 60_000_000;

  private final Map<String, Long> avoidedUntil = new LinkedHashMap<>();

  /** Those of the avoided machines on which a task of the job failed. */
  private final Set<String> failedOn = new HashSet<>();

  private int failures;
  private boolean everFailed;
  private long notBefore;
  private long waitingSince = -1;

  RetryBackoff() {}

  /** Returns the time before which no task of the job is started. */
  public long notBefore() {
    return notBefore;
  }

  /**
   * Delays the start of the job's tasks until the given time, unless they are already delayed for
   * longer.
   */
  public void delayUntil(long untilMicros) {
    notBefore = Math.max(notBefore, untilMicros);
  }

  /**
   * Records that a task of the job failed. Until the job fails repeatedly, failures on a machine
   * that it avoids already are not counted, because several failures on one machine prove no more
   * than one. After that each failure lengthens the pause.
   *
   * @param machine the name of the machine on which the task failed
   */
  public void recordFailure(String machine, long nowMicros) {
    if (failsRepeatedly() || !avoidedMachines(nowMicros).contains(machine)) {
      failures++;
    }
    everFailed = true;
    avoidMachine(machine, nowMicros + MACHINE_AVOIDANCE_MICROS);
    failedOn.add(machine);
    if (failsRepeatedly()) {
      long pause = BASE_PAUSE_MICROS << Math.min(failures, MAX_PAUSE_DOUBLINGS);
      notBefore = nowMicros + Math.min(MAX_PAUSE_MICROS, pause);
    }
  }

  /** Clears the failures and the pause, because the job made progress. */
  public void recordSuccess() {
    failures = 0;
    notBefore = 0;
  }

  /**
   * True if the job has failed on several machines, without progress in between, so that the job
   * rather than the machines is presumed to be the cause. Such a job is retried with one task at a
   * time.
   */
  public boolean failsRepeatedly() {
    return failures >= REPEATED_FAILURE_THRESHOLD;
  }

  /**
   * Returns for how long no machine could run a task of the job: since the first call after a task
   * was placed.
   */
  public long waitedMicros(long nowMicros) {
    if (waitingSince < 0) {
      waitingSince = nowMicros;
    }
    return nowMicros - waitingSince;
  }

  /** Records that a task of the job was placed. */
  public void recordPlaced() {
    waitingSince = -1;
  }

  /** True if a task of the job has failed since one last completed. */
  public boolean hasFailed() {
    return failures > 0;
  }

  /** True if a task of the job has ever failed in this term. */
  public boolean hasEverFailed() {
    return everFailed;
  }

  /**
   * True if the job failed on one machine and has since neither completed a task nor failed on
   * another machine.
   */
  public boolean failedOnce() {
    return hasFailed() && !failsRepeatedly();
  }

  /**
   * Avoids the machine for tasks of the job until the given time. If too many machines are avoided,
   * the one that was added first is dropped.
   */
  public void avoidMachine(String machine, long untilMicros) {
    avoidedUntil.remove(machine);
    failedOn.remove(machine);
    avoidedUntil.put(machine, untilMicros);
    if (avoidedUntil.size() > MAX_AVOIDED_MACHINES) {
      avoidedUntil.remove(avoidedUntil.keySet().iterator().next());
    }
  }

  /**
   * Returns the names of the machines on which no task of the job is placed now.
   *
   * <p>Avoidance is limited in time. Guards against a job that waits forever while the only machine
   * with free capacity is one that it avoids.
   */
  public Set<String> avoidedMachines(long nowMicros) {
    avoidedUntil.values().removeIf(until -> until <= nowMicros);
    failedOn.retainAll(avoidedUntil.keySet());
    return avoidedUntil.keySet();
  }

  /**
   * Returns those of the avoided machines that are avoided for another reason than a failure. A job
   * that fails repeatedly is retried on the others if no other machine has capacity.
   */
  public Set<String> unusableMachines(long nowMicros) {
    Set<String> unusable = new HashSet<>(avoidedMachines(nowMicros));
    unusable.removeAll(failedOn);
    return unusable;
  }
}
