package org.dewreach.scheduling;

import java.util.Set;
import java.util.function.Predicate;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.placement.SortFirstFit;

/**
 * Selects the machines on which a job's tasks may be placed now, regardless of their free capacity.
 */
final class MachineFilter {
  /** A machine that rejected a start for lack of capacity is given no tasks for this long. */
  private static final long START_REFUSAL_BACKOFF_MICROS = 3_000_000;

  private MachineFilter() {}

  /**
   * Returns a filter for machines that the job's constraints allow, that rejected no start
   * recently, and that the job does not avoid.
   *
   * @param retryWhereFailed true to include machines that the job avoids only because it failed
   *     there
   */
  static Predicate<Machine> forJob(Job job, boolean retryWhereFailed, long nowMicros) {
    Set<String> avoided =
        retryWhereFailed
            ? job.backoff().unusableMachines(nowMicros)
            : job.backoff().avoidedMachines(nowMicros);
    return machine ->
        SortFirstFit.permitted(job.spec(), machine)
            && nowMicros - machine.startRefusedAt() > START_REFUSAL_BACKOFF_MICROS
            && !avoided.contains(machine.name());
  }
}
