package org.dewreach.membership;

import java.util.List;
import org.dewreach.config.Settings;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.state.RecoveryDurationTracker;

/**
 * Ends a recovery that has been open for too long over several terms: the machines that hold it up
 * are released, which proves what their silence does not.
 *
 * <p>A machine that hangs or is cut off stays listed. Each leader waits for its lease from its own
 * beginning, so leaders that end again and again would wait for it without end. One that stays
 * never gets here: it gives such machines up by their leases.
 */
public final class StalledRecovery {
  private static final long CHECK_INTERVAL_MICROS = 500_000;

  private final RecoveryTracker recovery;
  private final FleetManager fleet;
  private final RecoveryDurationTracker clock;
  private final long patienceMicros;
  private long nextCheckAt;

  /** For one term. */
  public StalledRecovery(
      RecoveryTracker recovery,
      FleetManager fleet,
      RecoveryDurationTracker clock,
      Settings settings) {
    this.recovery = recovery;
    this.fleet = fleet;
    this.clock = clock;
    // As long as one leader would have kept them.
    this.patienceMicros =
        settings.workers().leaseMicros() + FailureDetector.LOST_MACHINE_KEPT_MICROS;
  }

  /**
   * Notes that the recovery is held up, if it is, and releases the machines that hold it up if that
   * has lasted for too long.
   *
   * @param recoveringSince when this term began to recover
   */
  public void tick(long recoveringSince, long nowMicros) {
    if (nowMicros < nextCheckAt) {
      return;
    }
    nextCheckAt = nowMicros + CHECK_INTERVAL_MICROS;
    List<Machine> holders = silentHolders(nowMicros);
    if (!holders.isEmpty()) {
      clock.recordOpen(recoveringSince, nowMicros);
    }
    if (clock.openMicros(nowMicros) >= patienceMicros) {
      holders.stream()
          .filter(machine -> fleet.isSilent(machine, nowMicros))
          .forEach(
              machine -> fleet.markForRelease(machine, "not heard for several terms", nowMicros));
    }
  }

  private List<Machine> silentHolders(long nowMicros) {
    return recovery.unreconciled().stream()
        .filter(StalledRecovery::neitherReleasedNorGone)
        .filter(machine -> fleet.missedHeartbeat(machine, nowMicros))
        .toList();
  }

  /** The tracker's list may be a moment old: the cloud's answer may have come since. */
  private static boolean neitherReleasedNorGone(Machine machine) {
    return machine.phase() == MachinePhase.UNKNOWN || machine.phase() == MachinePhase.UNCONFIRMED;
  }
}
