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
 * Tells from heartbeats and leases which machines are silent, lost or out of reach. It only looks;
 * {@link MachineHealthMonitor} acts.
 */
final class FailureDetector {
  /** A lost machine may come back for this long. A default of this project. */
  static final long LOST_MACHINE_KEPT_MICROS = 75_000_000;

  private static final int QUARTERS = 4;

  /** A machine is silent after this many quarters of its heartbeat interval, or later. */
  private static final int SILENT_AFTER_HEARTBEAT_QUARTERS = 13;

  private static final int PERCENT = 100;

  /** A machine is silent after this part of its lease, or later. */
  private static final int SILENT_AFTER_LEASE_PERCENT = 45;

  private static final long OVERDUE_MARGIN_MICROS = 500_000;

  /** A worker's clock drifts by at most one part in this many. */
  private static final int CLOCK_DRIFT_DIVISOR = 500;

  private static final long LEASE_MARGIN_MICROS = 300_000;

  /** A machine may take this many times its type's boot time to come up. */
  private static final int BOOT_PATIENCE_FACTOR = 3;

  private static final long BOOT_PATIENCE_MICROS = 30_000_000;

  private final LeaseDelegations delegations;
  private final Settings.Workers settings;
  private long authoritySince;

  /** A detector of one term, which has authority from now on. */
  FailureDetector(LeaseDelegations delegations, Settings.Workers settings, long nowMicros) {
    this.delegations = delegations;
    this.settings = settings;
    this.authoritySince = nowMicros;
  }

  /** From now on, and not before, this leader alone answers workers. */
  void onAuthorityGained(long nowMicros) {
    authoritySince = nowMicros;
  }

  /** For how long this leader alone has answered workers. */
  long authorityMicros(long nowMicros) {
    return nowMicros - authoritySince;
  }

  /** True if no heartbeat has come from the machine for far longer than the interval. */
  boolean isSilent(Machine machine, long nowMicros) {
    long silentAfter =
        Math.max(
            settings.reportMicros() * SILENT_AFTER_HEARTBEAT_QUARTERS / QUARTERS,
            settings.leaseMicros() * SILENT_AFTER_LEASE_PERCENT / PERCENT);
    return sinceHeartbeatMicros(machine, nowMicros) > silentAfter;
  }

  /** True if the machine's last heartbeats have not come in time. */
  private boolean isOverdue(Machine machine, long nowMicros) {
    return sinceHeartbeatMicros(machine, nowMicros) > overdueAfterMicros();
  }

  /** True if a heartbeat has not come, with one failed attempt at another controller before it. */
  boolean missedHeartbeat(Machine machine, long nowMicros) {
    long expectedWithin =
        WorkerTiming.longestIntervalMicros(settings) + WorkerTiming.RETRY_PAUSE_MICROS;
    return sinceHeartbeatMicros(machine, nowMicros) > expectedWithin;
  }

  /** Time after which a heartbeat is overdue. */
  long overdueAfterMicros() {
    return 2 * settings.reportMicros() + OVERDUE_MARGIN_MICROS;
  }

  private long sinceHeartbeatMicros(Machine machine, long nowMicros) {
    return nowMicros - Math.max(authoritySince, machine.heartbeats().lastHeartbeat());
  }

  /**
   * True if the worker's lease has surely expired, so that it has killed all its tasks, or if it
   * never had any.
   */
  boolean leaseExpired(Machine machine, long nowMicros) {
    if (machine.heartbeats().restartCheck() != RestartCheck.NONE) {
      // A worker that restarted has a lease of its own, and takes late copies of our starts.
      return false;
    }
    long from = Math.max(authoritySince, machine.heartbeats().lastLeaseRenewal());
    from = Math.max(from, delegations.renewedUntil(machine.zone(), nowMicros));
    long lease = settings.leaseMicros();
    return nowMicros > from + lease + lease / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MICROS;
  }

  /** Looks at all machines. */
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
      case UNKNOWN, UNCONFIRMED, UP, DRAINING -> workingCondition(machine, nowMicros);
      case BOOTING ->
          bootIsOverdue(machine, nowMicros) ? MachineCondition.NEVER_UP : MachineCondition.BOOTING;
      case LOST ->
          sinceHeartbeatMicros(machine, nowMicros) > LOST_MACHINE_KEPT_MICROS
              ? MachineCondition.LOST_FOR_GOOD
              : MachineCondition.LOST;
      case TERMINATING, GONE -> MachineCondition.LEAVING;
    };
  }

  private MachineCondition workingCondition(Machine machine, long nowMicros) {
    boolean silent = isSilent(machine, nowMicros);
    if (machine.heartbeats().restartCheck() == RestartCheck.CONFIRMED
        || machine.heartbeats().restartCheck() == RestartCheck.CHECKING && silent) {
      return MachineCondition.RESTARTED;
    }
    if (silent) {
      return MachineCondition.SILENT;
    }
    return machine.heartbeats().missesResponses()
        ? MachineCondition.MISSES_REPLIES
        : MachineCondition.RESPONSIVE;
  }

  private static boolean bootIsOverdue(Machine machine, long nowMicros) {
    long patience = BOOT_PATIENCE_FACTOR * machine.type().bootMicros() + BOOT_PATIENCE_MICROS;
    return nowMicros - machine.knownSince() > patience;
  }
}
