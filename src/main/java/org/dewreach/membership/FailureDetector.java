package org.dewreach.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.RestartCheck;

/**
 * Detects from heartbeats and leases which machines are silent, lost or unreachable. It only
 * reports them; {@link MachineHealthMonitor} acts.
 */
final class FailureDetector {
  /** A lost machine may come back until this long after its last heartbeat. */
  static final long LOST_MACHINE_TIMEOUT_MICROS = 75_000_000;

  private static final int QUARTERS_PER_INTERVAL = 4;

  /**
   * A machine is silent after this many quarters of its heartbeat interval, or after {@link
   * #SILENT_AFTER_LEASE_PERCENT} if that is later.
   */
  private static final int SILENT_AFTER_HEARTBEAT_QUARTERS = 13;

  private static final int PERCENT_DIVISOR = 100;

  /**
   * A machine is silent after this percentage of its lease, or after {@link
   * #SILENT_AFTER_HEARTBEAT_QUARTERS} if that is later.
   */
  private static final int SILENT_AFTER_LEASE_PERCENT = 45;

  private static final long OVERDUE_MARGIN_MICROS = 500_000;

  /** A worker's clock and this controller's diverge by at most one part in this many. */
  private static final int CLOCK_DRIFT_DIVISOR = 500;

  private static final long LEASE_MARGIN_MICROS = 300_000;

  /** A boot times out after this many times the machine type's boot time, plus a margin. */
  private static final int BOOT_TIMEOUT_FACTOR = 3;

  private static final long BOOT_TIMEOUT_MARGIN_MICROS = 30_000_000;

  private final LeaseDelegations delegations;
  private final Settings.WorkerSettings settings;
  private long authoritySince;

  /** Creates a detector for one term, which has authority from now on. */
  FailureDetector(LeaseDelegations delegations, Settings.WorkerSettings settings, long nowMicros) {
    this.delegations = delegations;
    this.settings = settings;
    this.authoritySince = nowMicros;
  }

  /**
   * Called when this leader becomes the only controller that responds to workers, and not earlier.
   */
  void onAuthorityGained(long nowMicros) {
    authoritySince = nowMicros;
  }

  /** Returns how long this leader has been the only controller that responds to workers. */
  long sinceAuthorityMicros(long nowMicros) {
    return nowMicros - authoritySince;
  }

  /** True if no heartbeat of the machine has arrived for far longer than the interval. */
  boolean isSilent(Machine machine, long nowMicros) {
    long silentAfter =
        Math.max(
            settings.heartbeatIntervalMicros()
                * SILENT_AFTER_HEARTBEAT_QUARTERS
                / QUARTERS_PER_INTERVAL,
            settings.leaseMicros() * SILENT_AFTER_LEASE_PERCENT / PERCENT_DIVISOR);
    return sinceHeartbeatMicros(machine, nowMicros) > silentAfter;
  }

  /** True if the machine's last heartbeats have not arrived in time. */
  private boolean isOverdue(Machine machine, long nowMicros) {
    return sinceHeartbeatMicros(machine, nowMicros) > overdueAfterMicros();
  }

  /**
   * True if an expected heartbeat has not arrived, allowing for one failed attempt at another
   * controller before it.
   */
  boolean missedHeartbeat(Machine machine, long nowMicros) {
    long expectedWithin =
        WorkerTiming.maxHeartbeatIntervalMicros(settings) + WorkerTiming.RETRY_PAUSE_MICROS;
    return sinceHeartbeatMicros(machine, nowMicros) > expectedWithin;
  }

  /** Returns the time since the last heartbeat after which the next one is overdue. */
  long overdueAfterMicros() {
    return 2 * settings.heartbeatIntervalMicros() + OVERDUE_MARGIN_MICROS;
  }

  private long sinceHeartbeatMicros(Machine machine, long nowMicros) {
    return nowMicros - Math.max(authoritySince, machine.heartbeats().lastHeartbeat());
  }

  /**
   * True if the worker's lease has certainly expired, so that it has killed all its tasks, or if it
   * never had any.
   */
  boolean leaseExpired(Machine machine, long nowMicros) {
    if (machine.heartbeats().restartCheck() != RestartCheck.NONE) {
      // A restarted worker has a lease of its own, and accepts late copies of starts that were sent
      // to its predecessor.
      return false;
    }
    long leaseStart = Math.max(authoritySince, machine.heartbeats().lastLeaseRenewal());
    leaseStart = Math.max(leaseStart, delegations.renewedUntil(machine.zone(), nowMicros));
    long lease = settings.leaseMicros();
    return nowMicros > leaseStart + lease + lease / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MICROS;
  }

  /** Determines the condition of every machine. */
  FleetHealth assess(Collection<Machine> machines, long nowMicros) {
    Map<MachineCondition, List<Machine>> byCondition = new EnumMap<>(MachineCondition.class);
    List<Machine> overdue = new ArrayList<>();
    int reachable = 0;
    for (Machine machine : machines) {
      MachineCondition condition = condition(machine, nowMicros);
      byCondition.computeIfAbsent(condition, key -> new ArrayList<>()).add(machine);
      if (!countsForReachability(machine, condition)) {
        continue;
      }
      if (isOverdue(machine, nowMicros)) {
        overdue.add(machine);
      } else {
        reachable++;
      }
    }
    return new FleetHealth(byCondition, overdue, reachable);
  }

  private static boolean countsForReachability(Machine machine, MachineCondition condition) {
    boolean expected =
        machine.phase() == MachinePhase.UNKNOWN
            || machine.phase() == MachinePhase.UP
            || machine.phase() == MachinePhase.DRAINING;
    return expected
        && condition != MachineCondition.RESTARTED
        && !machine.heartbeats().missesResponses();
  }

  private MachineCondition condition(Machine machine, long nowMicros) {
    return switch (machine.phase()) {
      case UNKNOWN, UNCONFIRMED, UP, DRAINING -> conditionByHeartbeats(machine, nowMicros);
      case BOOTING ->
          bootTimedOut(machine, nowMicros)
              ? MachineCondition.BOOT_TIMED_OUT
              : MachineCondition.BOOTING;
      case LOST ->
          sinceHeartbeatMicros(machine, nowMicros) > LOST_MACHINE_TIMEOUT_MICROS
              ? MachineCondition.LOST_TIMED_OUT
              : MachineCondition.LOST;
      case TERMINATING, GONE -> MachineCondition.BEING_RELEASED;
    };
  }

  private MachineCondition conditionByHeartbeats(Machine machine, long nowMicros) {
    boolean silent = isSilent(machine, nowMicros);
    if (machine.heartbeats().restartCheck() == RestartCheck.CONFIRMED
        || machine.heartbeats().restartCheck() == RestartCheck.CHECKING && silent) {
      return MachineCondition.RESTARTED;
    }
    if (silent) {
      return MachineCondition.SILENT;
    }
    return machine.heartbeats().missesResponses()
        ? MachineCondition.MISSES_RESPONSES
        : MachineCondition.RESPONSIVE;
  }

  /**
   * True if a machine should have sent a heartbeat long ago and has had the time to send one to
   * this leader.
   *
   * <p>Guards against a new leader that finds machines which have been up for long in the cloud's
   * list, and releases them before it can have received a heartbeat of them.
   */
  private boolean bootTimedOut(Machine machine, long nowMicros) {
    long timeout = BOOT_TIMEOUT_FACTOR * machine.type().bootMicros() + BOOT_TIMEOUT_MARGIN_MICROS;
    return nowMicros - machine.knownSince() > timeout
        && sinceAuthorityMicros(nowMicros) > overdueAfterMicros();
  }
}
