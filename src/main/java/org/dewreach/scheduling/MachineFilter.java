package org.dewreach.scheduling;

import java.util.Set;
import java.util.function.Predicate;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.placement.SortFirstFit;

/** Which machines a job's tasks may go to at the moment, whatever room these have. */
final class MachineFilter {
  /** A machine that refused a task for want of room is given none for this long. */
  private static final long START_REFUSAL_BACKOFF_MICROS = 3_000_000;

  private MachineFilter() {}

  /**
   * Machines that the owner allows, that refused no task lately, and where the job did not fail.
   */
  static Predicate<Machine> forJob(Job job, long nowMicros) {
    Set<String> avoided = job.backoff().avoidedMachines(nowMicros);
    return machine ->
        SortFirstFit.permitted(job.spec(), machine)
            && nowMicros - machine.startRefusedAt() > START_REFUSAL_BACKOFF_MICROS
            && !avoided.contains(machine.name());
  }
}
