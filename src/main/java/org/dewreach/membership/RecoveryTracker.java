package org.dewreach.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dewreach.autoscaling.MachinePool;
import org.dewreach.model.Job;
import org.dewreach.model.Machine;
import org.dewreach.placement.SortFirstFit;
import org.dewreach.state.ClusterState;

/** Tracks the machines that may run tasks of earlier terms which are unknown to this term. */
public final class RecoveryTracker {
  /** The interval between updates of the unreconciled machines. */
  private static final long UPDATE_INTERVAL_MICROS = 50_000;

  private final ClusterState clusterState;
  private final FleetManager fleet;
  private long nextUpdateAt;

  /** The machines of earlier terms that are not reconciled yet, while this term recovers. */
  private final List<Machine> unreconciled = new ArrayList<>();

  /** One unreconciled machine per pool: a job that may run on one may run on the whole pool. */
  private final Map<MachinePool, Machine> unreconciledByPool = new LinkedHashMap<>();

  /** Creates a tracker for one term. */
  public RecoveryTracker(ClusterState clusterState, FleetManager fleet) {
    this.clusterState = clusterState;
    this.fleet = fleet;
  }

  /** Starts with all machines of the cluster state as it was loaded. */
  public void start() {
    unreconciled.addAll(clusterState.machines().values());
  }

  /**
   * Removes the machines that can no longer run unknown tasks of earlier terms. A removed machine
   * is not added again.
   *
   * <p>Runs at intervals. Guards against a pass over all machines for each event: with a thousand
   * machines sending heartbeats to a leader that had just started, that took half of its time.
   *
   * @return true if this update found that every machine is reconciled
   */
  public boolean update(long nowMicros) {
    if (nowMicros < nextUpdateAt) {
      return false;
    }
    nextUpdateAt = nowMicros + UPDATE_INTERVAL_MICROS;
    unreconciled.removeIf(machine -> !mayRunUnknownTasks(machine, nowMicros));
    unreconciledByPool.clear();
    for (Machine machine : unreconciled) {
      unreconciledByPool.putIfAbsent(MachinePool.of(machine), machine);
    }
    return unreconciled.isEmpty();
  }

  /** Returns the machines of earlier terms that were not reconciled at the last update. */
  List<Machine> unreconciled() {
    return Collections.unmodifiableList(unreconciled);
  }

  /** True if the machine may run tasks of earlier terms that are unknown to this term. */
  private boolean mayRunUnknownTasks(Machine machine, long nowMicros) {
    // A machine without a record was never sent commands; it can only be known from a late copy of
    // a heartbeat.
    boolean mayHaveTasks = machine.commandedByEarlierTerm() && !machine.reconciled();
    return switch (machine.phase()) {
      case UNKNOWN, UNCONFIRMED -> mayHaveTasks;
      case TERMINATING -> mayHaveTasks && !fleet.leaseExpired(machine, nowMicros);
      case BOOTING, UP, LOST, DRAINING, GONE -> false;
    };
  }

  /**
   * True if every task of the job that may be running is known to this term. While some machines of
   * earlier terms are not reconciled, this holds for jobs submitted in this term and for jobs that
   * were allowed on none of these machines. Services, for example, need not wait for spot machines
   * to be reconciled.
   */
  public boolean allTasksKnown(Job job) {
    return job.addedThisTerm()
        || unreconciledByPool.values().stream()
            .noneMatch(machine -> SortFirstFit.permitted(job.spec(), machine));
  }
}
