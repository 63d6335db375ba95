package org.dewreach.membership;

import java.util.List;
import org.dewreach.config.Settings;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.state.RecoveryDurationTracker;

/**
 * Ends a recovery that has stayed open for too long over several terms: releases the machines that
 * block it. A release proves what silence does not: that their tasks are gone.
 *
 * <p>A machine that hangs or is partitioned stays in the cloud's list. Each leader waits for its
 * lease from the start of its own term, so a series of short terms would wait for it forever. A
 * leader that stays for long enough never gets here: it releases such machines after their leases
 * have expired.
 */
public final class StalledRecoveryResolver {
  private static final long CHECK_INTERVAL_MICROS = 500_000;

  private final RecoveryTracker recovery;
  private final FleetManager fleet;
  private final RecoveryDurationTracker durationTracker;
  private final long maxOpenMicros;
  private long nextCheckAt;

  /** Creates a resolver for one term. */
  public StalledRecoveryResolver(
      RecoveryTracker recovery,
      FleetManager fleet,
      RecoveryDurationTracker durationTracker,
      Settings settings) {
    this.recovery = recovery;
    this.fleet = fleet;
    this.durationTracker = durationTracker;
    // As long as a single leader would have kept the machines that block the recovery.
    this.maxOpenMicros =
        settings.workers().leaseMicros() + FailureDetector.LOST_MACHINE_TIMEOUT_MICROS;
  }

  /**
   * Records that the recovery is blocked, if it is, and releases the blocking machines if that has
   * lasted for too long.
   *
   * @param recoveringSince when this term began to recover
   */
  public void tick(long recoveringSince, long nowMicros) {
    if (nowMicros < nextCheckAt) {
      return;
    }
    nextCheckAt = nowMicros + CHECK_INTERVAL_MICROS;
    List<Machine> blockingMachines = silentBlockingMachines(nowMicros);
    if (!blockingMachines.isEmpty()) {
      durationTracker.recordOpen(recoveringSince, nowMicros);
    }
    if (durationTracker.openMicros(nowMicros) >= maxOpenMicros) {
      blockingMachines.stream()
          .filter(machine -> fleet.isSilent(machine, nowMicros))
          .forEach(
              machine -> fleet.markForRelease(machine, "not heard for several terms", nowMicros));
    }
  }

  private List<Machine> silentBlockingMachines(long nowMicros) {
    return recovery.unreconciled().stream()
        .filter(StalledRecoveryResolver::isAwaitingReconciliation)
        .filter(machine -> fleet.missedHeartbeat(machine, nowMicros))
        .toList();
  }

  /**
   * True if the machine still has to be reconciled. The tracker's list may be slightly out of date:
   * the machine may have been released since.
   */
  private static boolean isAwaitingReconciliation(Machine machine) {
    return machine.phase() == MachinePhase.UNKNOWN || machine.phase() == MachinePhase.UNCONFIRMED;
  }
}
