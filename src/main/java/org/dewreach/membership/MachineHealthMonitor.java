package org.dewreach.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.dewreach.autoscaling.ScaleInExecutor;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.state.ClusterState;

/** Acts on machines that are silent, lost or out of reach: most are released in the end. */
final class MachineHealthMonitor {
  /**
   * Of a large fleet, one machine in this many may be released early in a recovery. A default of
   * this project.
   */
  private static final int RESPONSIVE_MACHINES_PER_STRAGGLER = 40;

  private final ClusterState clusterState;
  private final FailureDetector detector;
  private final PartitionDetector partitionDetector;
  private final ScaleInExecutor scaleIn;

  /** A monitor of one term. */
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

  /** Looks at all machines, acts on what is found, and returns it. Called once a round. */
  FleetHealth checkMachines(long nowMicros) {
    FleetHealth health = detector.assess(clusterState.machines().values(), nowMicros);
    markForRelease(health.in(MachineCondition.RESTARTED), "worker restarted", nowMicros);
    markForRelease(health.in(MachineCondition.BOOT_TIMED_OUT), "never came up", nowMicros);
    markForRelease(health.in(MachineCondition.LOST_TIMED_OUT), "lost and not back", nowMicros);
    // What is placed there now would be bound until it is known what became of it.
    health.overdue().forEach(machine -> machine.heartbeats().markUnreachable());
    partitionDetector.onRound(health, detector.sinceAuthorityMicros(nowMicros));
    releaseStragglers(health, nowMicros);
    for (Machine machine : health.in(MachineCondition.BEING_RELEASED)) {
      freeTasksOnceLeaseExpired(machine, nowMicros);
    }
    for (Machine machine : health.in(MachineCondition.SILENT)) {
      if (machine.phase() != MachinePhase.TERMINATING) {
        handleSilentMachine(machine, health.fewUnreachable(), nowMicros);
      }
    }
    if (health.fewUnreachable()) {
      // Nothing placed there starts, and its incarnation will end: the release is proof enough.
      markForRelease(
          health.in(MachineCondition.MISSES_REPLIES), "does not take answers", nowMicros);
    }
    return health;
  }

  private void markForRelease(Collection<Machine> machines, String reason, long nowMicros) {
    machines.forEach(machine -> scaleIn.markForRelease(machine, reason, nowMicros));
  }

  /**
   * A machine that is silent is released if its silence is its own fault; otherwise its lease is
   * waited for, after which its tasks can be placed elsewhere.
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
   * Guards against tasks that wait for the cloud to confirm a release, as long as its interface is
   * down: the end of the lease proves the same.
   */
  private void freeTasksOnceLeaseExpired(Machine machine, long nowMicros) {
    if (!machine.tasks().isEmpty() && detector.leaseExpired(machine, nowMicros)) {
      clusterState.unbindAll(machine, "lease expired", nowMicros);
    }
  }

  /** Guards against renting a whole zone anew that is back within a minute, images and all. */
  private void markLost(Machine machine, long nowMicros) {
    clusterState.changePhase(machine, MachinePhase.LOST, "lease expired", nowMicros);
  }

  /**
   * The last few machines that a new leader has not heard hold up all jobs that may run there, so
   * they are released sooner: releasing them proves what their silence does not.
   */
  private void releaseStragglers(FleetHealth health, long nowMicros) {
    if (detector.sinceAuthorityMicros(nowMicros) < detector.overdueAfterMicros()) {
      return;
    }
    List<Machine> unheard = new ArrayList<>();
    for (Machine machine : clusterState.machines().values()) {
      if (machine.phase() == MachinePhase.UNKNOWN) {
        unheard.add(machine);
      }
    }
    int responsive = health.in(MachineCondition.RESPONSIVE).size();
    if (unheard.size() <= responsive / RESPONSIVE_MACHINES_PER_STRAGGLER) {
      markForRelease(unheard, "not heard in this term", nowMicros);
    }
  }
}
