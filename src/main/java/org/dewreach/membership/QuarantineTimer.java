package org.dewreach.membership;

import org.dewreach.model.FailureHistory;
import org.dewreach.model.Machine;
import org.dewreach.state.ClusterState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides by time when a quarantined machine is drained, put on probation, or used again. */
final class QuarantineTimer {
  private static final Logger LOG = LoggerFactory.getLogger(QuarantineTimer.class);

  /** A quarantined machine is not drained for this long, in which the quarantine may end. */
  private static final long DRAIN_AFTER_MICROS = 8_000_000;

  /**
   * A quarantined machine is not drained for this long while a job that failed there is still
   * retried elsewhere.
   */
  private static final long MAX_RETRY_WAIT_MICROS = 60_000_000;

  /** After this time, a quarantined machine that still runs tasks is put on probation. */
  private static final long PROBATION_AFTER_MICROS = 40_000_000;

  /** With {@link #PROBATION_AFTER_MICROS}, well below the longest wait beside free capacity. */
  private static final long PROBATION_MICROS = 25_000_000;

  private final ClusterState clusterState;

  /** Creates a timer for the machines of one term. */
  QuarantineTimer(ClusterState clusterState) {
    this.clusterState = clusterState;
  }

  /**
   * Ends a quarantine by time: it becomes a probation, which ends as well unless a task fails.
   *
   * <p>Guards against a machine that neither receives tasks nor is released, because a replica runs
   * there that never ends. An empty machine is released instead.
   */
  void update(Machine machine, long nowMicros) {
    FailureHistory failures = machine.failures();
    long lastedMicros = nowMicros - failures.stateSince();
    switch (failures.state()) {
      case QUARANTINED -> {
        if (lastedMicros > PROBATION_AFTER_MICROS && !machine.tasks().isEmpty()) {
          LOG.info("machine probation begins: machine={}", machine.name());
          failures.beginProbation(nowMicros);
          clusterState.resumePlacementOn(machine, nowMicros);
        }
      }
      case PROBATION -> {
        if (lastedMicros > PROBATION_MICROS) {
          LOG.info("machine probation ended: machine={}", machine.name());
          failures.clear(nowMicros);
          clusterState.requestPlacement();
        }
      }
      case NONE -> {
        // not quarantined
      }
    }
  }

  /**
   * True if a machine is quarantined and the quarantine has had time to end because the jobs fail
   * elsewhere too.
   *
   * <p>Guards against releasing healthy machines because of jobs that take a while to fail: the
   * second failure, which shows that the job is at fault, takes at least as long as the first one
   * did.
   */
  boolean mayDrain(Machine machine, long nowMicros) {
    if (!machine.quarantined()) {
      return false;
    }
    boolean retriedElsewhere =
        machine.failures().jobs().stream()
            .map(clusterState.jobs()::get)
            .anyMatch(job -> job != null && job.backoff().failedOnce());
    return nowMicros - machine.failures().stateSince()
        > (retriedElsewhere ? MAX_RETRY_WAIT_MICROS : DRAIN_AFTER_MICROS);
  }
}
