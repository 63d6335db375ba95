package org.dewreach.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.dewreach.autoscaling.ScaleInExecutor;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.state.ClusterState;

/** Handles machines that are silent, lost or unreachable; most of them are eventually released. */
final class MachineHealthMonitor {
  /**
   * One machine per this many responsive ones may be released early in a recovery, so a small fleet
   * releases none.
   */
  private static final int RESPONSIVE_MACHINES_PER_STRAGGLER = 40;

  private final ClusterState clusterState;
  private final FailureDetector detector;
  private final PartitionDetector partitionDetector;
  private final ScaleInExecutor scaleIn;

  /** Creates a monitor for one term. */
  MachineHealthMonitor(
      ClusterState clusterState,
      FailureDetector detector,
      PartitionDetector partitionDetector,
      ScaleInExecutor scaleIn) {
    this.clusterState = clusterState;
    this.detector = detector;
    this.partitionDetector = partitionDetector;
    this.scaleIn = scaleIn;
  }

  /** Assesses all machines, acts on the result and returns it. Called once per round. */
  FleetHealth checkMachines(long nowMicros) {
    FleetHealth health = detector.assess(clusterState.machines().values(), nowMicros);
    markForRelease(health.in(MachineCondition.RESTARTED), "worker restarted", nowMicros);
    markForRelease(health.in(MachineCondition.BOOT_TIMED_OUT), "boot timed out", nowMicros);
    markForRelease(health.in(MachineCondition.LOST_TIMED_OUT), "lost for too long", nowMicros);
    // Tasks placed there now would stay bound until it is known what became of the machine.
    health.overdue().forEach(machine -> machine.heartbeats().markUnreachable());
    partitionDetector.onRound(health, detector.sinceAuthorityMicros(nowMicros));
    releaseStragglers(health, nowMicros);
    for (Machine machine : health.in(MachineCondition.BEING_RELEASED)) {
      unbindTasksAfterLeaseExpiry(machine, nowMicros);
    }
    for (Machine machine : health.in(MachineCondition.SILENT)) {
      if (machine.phase() != MachinePhase.TERMINATING) {
        handleSilentMachine(machine, health.fewUnreachable(), nowMicros);
      }
    }
    if (health.fewUnreachable()) {
      // Tasks placed there never start, and the worker's incarnation will end; the release itself
      // proves that its tasks are gone.
      markForRelease(health.in(MachineCondition.MISSES_RESPONSES), "misses responses", nowMicros);
    }
    return health;
  }

  private void markForRelease(Collection<Machine> machines, String reason, long nowMicros) {
    machines.forEach(machine -> scaleIn.markForRelease(machine, reason, nowMicros));
  }

  /**
   * Releases a silent machine if the fault is likely its own. Otherwise waits for its lease to
   * expire, after which its tasks can be placed elsewhere.
   */
  private void handleSilentMachine(Machine machine, boolean fewUnreachable, long nowMicros) {
    boolean leaseExpired = detector.leaseExpired(machine, nowMicros);
    if (leaseExpired) {
      clusterState.unbindAll(machine, "lease expired", nowMicros);
      machine.markReconciled();
    }
    if (fewUnreachable) {
      String reason = leaseExpired ? "silent, lease expired" : "silent";
      scaleIn.markForRelease(machine, reason, nowMicros);
    } else if (leaseExpired) {
      markLost(machine, nowMicros);
    }
  }

  /**
   * Unbinds the tasks of a machine that is being released once its lease has expired.
   *
   * <p>Guards against tasks that wait for the cloud to confirm a release for as long as its API is
   * down: the lease expiry proves the same.
   */
  private void unbindTasksAfterLeaseExpiry(Machine machine, long nowMicros) {
    if (!machine.tasks().isEmpty() && detector.leaseExpired(machine, nowMicros)) {
      clusterState.unbindAll(machine, "lease expired", nowMicros);
    }
  }

  /**
   * Keeps the machine for a while instead of releasing it.
   *
   * <p>Guards against renting a whole zone again that is back within a minute, and pulling all its
   * images again.
   */
  private void markLost(Machine machine, long nowMicros) {
    clusterState.changePhase(machine, MachinePhase.LOST, "lease expired", nowMicros);
  }

  /**
   * Releases the last few machines that have sent no heartbeat to a new leader early. They block
   * all jobs that may run there, and a release proves what silence does not: that their tasks are
   * gone.
   */
  private void releaseStragglers(FleetHealth health, long nowMicros) {
    if (detector.sinceAuthorityMicros(nowMicros) < detector.overdueAfterMicros()) {
      return;
    }
    List<Machine> withoutHeartbeat = new ArrayList<>();
    for (Machine machine : clusterState.machines().values()) {
      if (machine.phase() == MachinePhase.UNKNOWN) {
        withoutHeartbeat.add(machine);
      }
    }
    int responsive = health.in(MachineCondition.RESPONSIVE).size();
    if (withoutHeartbeat.size() <= responsive / RESPONSIVE_MACHINES_PER_STRAGGLER) {
      markForRelease(withoutHeartbeat, "no heartbeat in this term", nowMicros);
    }
  }
}
