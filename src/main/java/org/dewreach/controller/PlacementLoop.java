package org.dewreach.controller;

import java.util.List;
import org.dewreach.config.Settings;
import org.dewreach.config.Tuning;
import org.dewreach.heartbeat.DirectCommandSender;
import org.dewreach.membership.FleetManager;
import org.dewreach.membership.RecoveryTracker;
import org.dewreach.placement.QueueOrder;
import org.dewreach.scheduling.Preemption;
import org.dewreach.scheduling.TaskPlacer;
import org.dewreach.scheduling.UnplacedTasks;
import org.dewreach.state.ClusterState;

/** Runs placement passes at intervals that depend on the cluster's size. */
final class PlacementLoop {
  /** Changes within this interval share a pass. */
  private static final long MIN_INTERVAL_MICROS = 80_000;

  /** The number of jobs and machines up to which passes run at the minimum interval. */
  private static final int FULL_RATE_MAX_ITEMS = 1_000;

  /** A pass runs at least this often, since pauses that end with time raise no event. */
  private static final long MAX_INTERVAL_MICROS = 500_000;

  private final ClusterState clusterState;
  private final FleetManager fleet;
  private final RecoveryTracker recovery;
  private final DirectCommandSender commandSender;
  private final TaskPlacer placer;
  private final Preemption preemption;
  private long lastPassAt;
  private List<UnplacedTasks> unplaced = List.of();

  PlacementLoop(
      ClusterState clusterState,
      FleetManager fleet,
      RecoveryTracker recovery,
      DirectCommandSender commandSender,
      Settings settings,
      Tuning tuning,
      long wallOffsetMicros) {
    this.clusterState = clusterState;
    this.fleet = fleet;
    this.recovery = recovery;
    this.commandSender = commandSender;
    this.preemption = new Preemption(clusterState);
    this.placer =
        new TaskPlacer(
            clusterState,
            new QueueOrder(settings.teams(), settings.objectives()),
            settings.objectives(),
            tuning,
            wallOffsetMicros);
  }

  /** The jobs with tasks that the last pass could not bind. */
  List<UnplacedTasks> unplaced() {
    return unplaced;
  }

  /**
   * Runs a pass if it is due.
   *
   * @param mayPreempt true if every machine of earlier terms is reconciled
   */
  void tick(boolean mayPreempt, long nowMicros) {
    boolean due = nowMicros - lastPassAt >= MAX_INTERVAL_MICROS;
    if (nowMicros - lastPassAt < intervalMicros()
        || !(clusterState.consumePlacementRequest() || due)) {
      return;
    }
    lastPassAt = nowMicros;
    unplaced = placer.placeTasks(nowMicros, recovery::allTasksKnown, fleet.typicalBootMicros());
    if (mayPreempt) {
      preemption.preempt(unplaced, nowMicros);
    }
    commandSender.sendPending(nowMicros);
  }

  /**
   * Returns the interval between passes. Each pass examines all jobs and machines, so the interval
   * grows with their number.
   */
  private long intervalMicros() {
    int items = clusterState.jobs().size() + clusterState.machines().size();
    return Math.min(
        MAX_INTERVAL_MICROS,
        Math.max(MIN_INTERVAL_MICROS, MIN_INTERVAL_MICROS * items / FULL_RATE_MAX_ITEMS));
  }
}
