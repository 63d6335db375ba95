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

/** Tracks the machines on which tasks of earlier terms may run that this term does not know of. */
public final class RecoveryTracker {
  /** How often the machines that are still to be reconciled are looked at. */
  private static final long UPDATE_INTERVAL_MICROS = 50_000;

  private final ClusterState clusterState;
  private final FleetManager fleet;
  private long nextUpdateAt;

  /** Machines of earlier terms that are not reconciled, while this term recovers. */
  private final List<Machine> unreconciled = new ArrayList<>();

  /** One of them of each pool: a job that may run on one may run on all of the pool. */
  private final Map<MachinePool, Machine> unreconciledByPool = new LinkedHashMap<>();

  /** A tracker of one term. */
  public RecoveryTracker(ClusterState clusterState, FleetManager fleet) {
    this.clusterState = clusterState;
    this.fleet = fleet;
  }

  /** Begins with all machines of the cluster state as it was loaded. */
  public void start() {
    unreconciled.addAll(clusterState.machines().values());
  }

  /**
   * Drops the machines of which it has become known what earlier terms left there; it stays known.
   *
   * <p>Guards against a pass over all machines for each event: while a thousand of them send
   * heartbeats to a leader that has just started, that took half of its time.
   *
   * @return true if it was found now that every machine is reconciled
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

  /** The machines of earlier terms that are not reconciled, as of the last update. */
  List<Machine> unreconciled() {
    return Collections.unmodifiableList(unreconciled);
  }

  /** True if tasks of earlier terms may run on the machine that this term does not know of. */
  private boolean mayRunUnknownTasks(Machine machine, long nowMicros) {
    // One that is in no record was never given commands: only a late copy of a heartbeat may have
    // told of it.
    boolean open = machine.commandedByEarlierTerm() && !machine.reconciled();
    return switch (machine.phase()) {
      case UNKNOWN, UNCONFIRMED -> open;
      case TERMINATING -> open && !fleet.leaseExpired(machine, nowMicros);
      case BOOTING, UP, LOST, DRAINING, GONE -> false;
    };
  }

  /**
   * True if every task of the job that may run is known to this term. While some machines of
   * earlier terms are not reconciled, that holds for jobs submitted in this term, and for those
   * that were allowed on none of these machines: services need not wait for what became of spot
   * machines.
   */
  public boolean allTasksKnown(Job job) {
    return job.addedThisTerm()
        || unreconciledByPool.values().stream()
            .noneMatch(machine -> SortFirstFit.permitted(job.spec(), machine));
  }
}
