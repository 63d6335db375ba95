package org.dewreach.model;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * When and where a job whose tasks failed is tried again: it avoids the machines on which they
 * failed, and pauses the longer the more machines those were.
 */
public final class RetryBackoff {
  private static final int MAX_AVOIDED_MACHINES = 8;

  /**
   * So many machines on which it failed in a row speak against the job. A default of this project.
   */
  private static final int REPEATED_FAILURE_THRESHOLD = 2;

  /**
   * A machine on which a task of the job failed is avoided by it for this long. A default of this
   * project.
   */
  private static final long AVOIDED_MICROS = 60_000_000;

  /** Pause of a job that fails repeatedly; it doubles with each failure. */
  private static final long FIRST_PAUSE_MICROS = 500_000;

  private static final int MAX_PAUSE_DOUBLINGS = 7;
  private static final long MAX_PAUSE_MICROS = 60_000_000;

  private final Map<String, Long> avoidedUntil = new LinkedHashMap<>();
  private int failures;
  private long notBefore;

  RetryBackoff() {}

  /** No task of the job is started before this time. */
  public long notBefore() {
    return notBefore;
  }

  /** Starts no task of the job before the given time. */
  public void delayUntil(long untilMicros) {
    notBefore = Math.max(notBefore, untilMicros);
  }

  /**
   * A task failed. Several tasks that fail on one machine say no more than one.
   *
   * @param machine where it failed
   */
  public void recordFailure(String machine, long nowMicros) {
    if (!avoidedMachines(nowMicros).contains(machine)) {
      failures++;
    }
    avoidMachine(machine, nowMicros + AVOIDED_MICROS);
    if (failsRepeatedly()) {
      long pause = FIRST_PAUSE_MICROS << Math.min(failures, MAX_PAUSE_DOUBLINGS);
      notBefore = nowMicros + Math.min(MAX_PAUSE_MICROS, pause);
    }
  }

  /** The job made progress: earlier failures no longer count against it. */
  public void recordSuccess() {
    failures = 0;
    notBefore = 0;
  }

  /**
   * True if it failed wherever it went since it last made progress: that speaks against the job,
   * not the machines. It is tried with one task at a time then.
   */
  public boolean failsRepeatedly() {
    return failures >= REPEATED_FAILURE_THRESHOLD;
  }

  /** True if it failed once and has neither completed a task nor failed elsewhere since. */
  public boolean failedOnce() {
    return failures > 0 && !failsRepeatedly();
  }

  /**
   * Places no task of the job on the machine until then, or until many others were avoided since.
   */
  public void avoidMachine(String machine, long untilMicros) {
    avoidedUntil.remove(machine);
    avoidedUntil.put(machine, untilMicros);
    if (avoidedUntil.size() > MAX_AVOIDED_MACHINES) {
      avoidedUntil.remove(avoidedUntil.keySet().iterator().next());
    }
  }

  /**
   * Machines on which no task of the job is placed now.
   *
   * <p>Not for ever: guards against a job that waits beside the only machine with room.
   */
  public Set<String> avoidedMachines(long nowMicros) {
    avoidedUntil.values().removeIf(until -> until <= nowMicros);
    return avoidedUntil.keySet();
  }
}
