package org.dewreach.membership;

import java.util.ArrayList;
import java.util.List;
import org.dewreach.autoscaling.ScaleInExecutor;
import org.dewreach.config.Settings;
import org.dewreach.leadership.LeaseDelegations;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.model.RestartCheck;
import org.dewreach.state.ClusterState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Watches for machines that are silent, lost or miss replies, and gives them up. */
final class MachineHealthMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(MachineHealthMonitor.class);

  /**
   * Of a large fleet, one machine in this many may be given up early in a recovery. A default of
   * this project.
   */
  private static final int STRAGGLERS_DIVISOR = 40;

  /**
   * When many machines are lost at once, they are waited for this long. A default of this project.
   */
  private static final long LOST_MACHINE_KEPT_MICROS = 75_000_000;

  /** So many machines do not fall silent at once, unless it is us. A default of this project. */
  private static final int MIN_SILENT_FOR_PARTITION = 3;

  /** This many machines missed for one that is reached show a partition. */
  private static final int MISSED_PER_REACHED_FOR_PARTITION = 3;

  /** This many rounds in a row have to show a partition. */
  private static final int MIN_ROUNDS_FOR_PARTITION = 2;

  /** So many missed machines are few, however many are reached. */
  private static final int MAX_FEW_MISSED = 2;

  /** Of a large fleet, one missed machine for this many that are reached is few. */
  private static final int REACHED_PER_FEW_MISSED = 3;

  /** What a worker spends on a node that does not answer, with the pause before the next. */
  private static final long LOST_MACHINE_RETRY_MICROS = 5_000_000;

  private static final long ARRIVAL_MARGIN_MICROS = 1_000_000;
  private static final int QUARTERS = 4;
  private static final int LAST_REPORT_QUARTERS = 5;

  /** A machine is silent after this many quarters of its report interval, or later. */
  private static final int SILENT_AFTER_REPORT_QUARTERS = 13;

  private static final int PERCENT = 100;

  /** A machine is silent after this part of its lease, or later. */
  private static final int SILENT_AFTER_LEASE_PERCENT = 45;

  private static final long QUIET_MARGIN_MICROS = 500_000;

  /** A worker's clock drifts by at most one part in this many. */
  private static final int CLOCK_DRIFT_DIVISOR = 500;

  private static final long LEASE_MARGIN_MICROS = 300_000;

  /** A machine may take this many times its type's boot time to come up. */
  private static final int BOOT_PATIENCE_FACTOR = 3;

  private static final long BOOT_PATIENCE_MICROS = 30_000_000;

  /** What one pass over the fleet found. */
  private static final class Findings {
    final List<Machine> silent = new ArrayList<>();
    final List<Machine> missesReplies = new ArrayList<>();
    int heard;
    int lost;
    int missed;
    int reached;

    /**
     * When many fall silent at once it is rather us who are cut off: wait for the leases then. The
     * first of many to cross the limit are told by the others, which have been quiet for a while.
     * The lost ones count too: else, once some of a cut zone's leases are over, the rest of its
     * machines look like few and are returned, a moment before the zone is back.
     */
    boolean few() {
      return missed + lost <= Math.max(MAX_FEW_MISSED, reached / REACHED_PER_FEW_MISSED);
    }

    /** Machines that have just come up may be heard all the same. */
    boolean most() {
      return missed >= MIN_SILENT_FOR_PARTITION
          && missed >= MISSED_PER_REACHED_FOR_PARTITION * reached;
    }
  }

  private final ClusterState clusterState;
  private final LeaseDelegations delegations;
  private final Settings settings;
  private final ScaleInExecutor scaleIn;
  private long startedAt;
  private int cutOffRounds;

  MachineHealthMonitor(
      ClusterState clusterState,
      LeaseDelegations delegations,
      Settings settings,
      ScaleInExecutor scaleIn,
      long nowMicros) {
    this.clusterState = clusterState;
    this.delegations = delegations;
    this.settings = settings;
    this.scaleIn = scaleIn;
    this.startedAt = nowMicros;
  }

  /** From now on, and not before, this leader alone answers workers. */
  void onAuthorityGained(long nowMicros) {
    startedAt = nowMicros;
  }

  /** True if the worker has surely killed all its tasks, or never had any. */
  boolean leaseExpired(Machine machine, long nowMicros) {
    if (machine.restartCheck() != RestartCheck.NONE) {
      // A worker that restarted has a lease of its own, and takes late copies of our starts.
      return false;
    }
    long from = Math.max(startedAt, machine.lastLeaseRenewal());
    from = Math.max(from, delegations.renewedUntil(machine.zone(), nowMicros));
    long lease = settings.workers().leaseMicros();
    return nowMicros > from + lease + lease / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MICROS;
  }

  /** True if nothing new was heard of the machine for longer than reports take. */
  boolean isSilent(Machine machine, long nowMicros) {
    return unheardMicros(machine, nowMicros) > silentAfterMicros();
  }

  private long unheardMicros(Machine machine, long nowMicros) {
    return nowMicros - Math.max(startedAt, machine.lastHeartbeat());
  }

  private long silentAfterMicros() {
    return Math.max(
        settings.workers().reportMicros() * SILENT_AFTER_REPORT_QUARTERS / QUARTERS,
        settings.workers().leaseMicros() * SILENT_AFTER_LEASE_PERCENT / PERCENT);
  }

  private long quietAfterMicros() {
    return 2 * settings.workers().reportMicros() + QUIET_MARGIN_MICROS;
  }

  /**
   * True if it is this node that has lost the workers: hardly one of several is heard, or takes
   * answers. Another node may well have them.
   */
  boolean partitionedFromWorkers() {
    return cutOffRounds >= MIN_ROUNDS_FOR_PARTITION;
  }

  /**
   * Workers find a new leader within this time, also those that have to try all other nodes in
   * vain.
   *
   * <p>Guards against the only leader outside a cut zone that gives up before its workers have
   * found it: nobody led for ten seconds then, and nearly all leases ran out.
   */
  private long arrivalMicros() {
    long lastHeartbeat = settings.workers().reportMicros() * LAST_REPORT_QUARTERS / QUARTERS;
    return lastHeartbeat
        + settings.members().size() * LOST_MACHINE_RETRY_MICROS
        + ARRIVAL_MARGIN_MICROS;
  }

  /** Gives up the machines that are not coming back. Called once a round. */
  void check(long nowMicros) {
    Findings findings = new Findings();
    for (Machine machine : clusterState.machines().values()) {
      checkPhase(machine, findings, nowMicros);
    }
    countReached(findings, nowMicros);
    // Twice in a row: a process that was held up sees its backlog of reports in between.
    boolean cutOffNow = findings.most() && nowMicros > startedAt + arrivalMicros();
    cutOffRounds = cutOffNow ? cutOffRounds + 1 : 0;
    giveUpStragglers(findings.heard, nowMicros);
    findings.silent.removeIf(machine -> machine.phase() == MachinePhase.TERMINATING);
    for (Machine machine : findings.silent) {
      onSilent(machine, findings.few(), nowMicros);
    }
    if (findings.few()) {
      // Nothing placed there starts, and its incarnation will end: the return is proof enough.
      findings.missesReplies.forEach(
          machine -> scaleIn.markForRelease(machine, "does not take answers", nowMicros));
    }
  }

  private void checkPhase(Machine machine, Findings findings, long nowMicros) {
    switch (machine.phase()) {
      case UNKNOWN, UNCONFIRMED, UP, DRAINING -> checkReports(machine, findings, nowMicros);
      case BOOTING -> releaseIfNeverUp(machine, nowMicros);
      case LOST -> {
        findings.lost++;
        if (unheardMicros(machine, nowMicros) > LOST_MACHINE_KEPT_MICROS) {
          scaleIn.markForRelease(machine, "lost and not back", nowMicros);
        }
      }
      case TERMINATING, GONE -> {
        // on its way already
      }
    }
  }

  private void checkReports(Machine machine, Findings findings, long nowMicros) {
    boolean mayHaveRestarted =
        machine.restartCheck() == RestartCheck.CHECKING && isSilent(machine, nowMicros);
    if (machine.restartCheck() == RestartCheck.CONFIRMED || mayHaveRestarted) {
      scaleIn.markForRelease(machine, "its worker restarted", nowMicros);
    } else if (isSilent(machine, nowMicros)) {
      findings.silent.add(machine);
    } else if (machine.missesReplies()) {
      findings.missesReplies.add(machine);
    } else {
      findings.heard++;
    }
  }

  private void releaseIfNeverUp(Machine machine, long nowMicros) {
    long patience = BOOT_PATIENCE_FACTOR * machine.type().bootMicros() + BOOT_PATIENCE_MICROS;
    if (nowMicros - machine.knownSince() > patience) {
      scaleIn.markForRelease(machine, "never came up", nowMicros);
    }
  }

  private void countReached(Findings findings, long nowMicros) {
    findings.missed = findings.missesReplies.size();
    for (Machine machine : clusterState.machines().values()) {
      boolean expected =
          machine.phase() == MachinePhase.UNKNOWN
              || machine.phase() == MachinePhase.UP
              || machine.phase() == MachinePhase.DRAINING;
      if (!expected || machine.missesReplies()) {
        continue;
      }
      if (unheardMicros(machine, nowMicros) > quietAfterMicros()) {
        // What is placed there now would be bound until it is known what became of it.
        machine.markUnreachable();
        findings.missed++;
      } else {
        findings.reached++;
      }
    }
  }

  private void onSilent(Machine machine, boolean few, long nowMicros) {
    if (leaseExpired(machine, nowMicros)) {
      clusterState.unbindAll(machine, "its lease is over", nowMicros);
      machine.markReconciled();
      if (few) {
        scaleIn.markForRelease(machine, "silent, lease over", nowMicros);
      } else {
        // Guards against renting a whole zone anew that is back within a minute, images and all.
        LOG.info("machine {} is lost", machine.name());
        machine.become(MachinePhase.LOST, nowMicros);
        clusterState.requestPlacement();
      }
    } else if (few) {
      scaleIn.markForRelease(machine, "silent", nowMicros);
    }
  }

  /**
   * The last few machines that a new leader has not heard hold up all jobs that may run there, so
   * they are given up sooner: returning them proves what their silence does not.
   */
  private void giveUpStragglers(int heard, long nowMicros) {
    if (nowMicros - startedAt < quietAfterMicros()) {
      return;
    }
    List<Machine> unheard = new ArrayList<>();
    for (Machine machine : clusterState.machines().values()) {
      if (machine.phase() == MachinePhase.UNKNOWN) {
        unheard.add(machine);
      }
    }
    if (unheard.size() <= heard / STRAGGLERS_DIVISOR) {
      unheard.forEach(
          machine -> scaleIn.markForRelease(machine, "not heard under this term", nowMicros));
    }
  }
}
