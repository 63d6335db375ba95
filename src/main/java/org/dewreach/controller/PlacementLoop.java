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

/** Decides when a placement pass is made, and makes it. */
final class PlacementLoop {
  /** Placement looks at changes that came close together in one pass. */
  private static final long PLACEMENT_INTERVAL_MICROS = 80_000;

  /** Jobs and machines up to which passes come that often. A default of this project. */
  private static final int FULL_RATE_MAX_ITEMS = 1_000;

  /** Time-dependent pauses end unnoticed by events, so a pass is made now and then anyway. */
  private static final long MAX_PLACEMENT_INTERVAL_MICROS = 500_000;

  private final ClusterState clusterState;
  private final FleetManager fleet;
  private final RecoveryTracker recovery;
  private final DirectCommandSender direct;
  private final TaskPlacer placer;
  private final Preemption preemption;
  private long lastPass;
  private List<UnplacedTasks> waiting = List.of();

  PlacementLoop(
      ClusterState clusterState,
      FleetManager fleet,
      RecoveryTracker recovery,
      DirectCommandSender direct,
      Settings settings,
      Tuning tuning,
      long wallOffsetMicros) {
    this.clusterState = clusterState;
    this.fleet = fleet;
    this.recovery = recovery;
    this.direct = direct;
    this.preemption = new Preemption(clusterState);
    this.placer =
        new TaskPlacer(
            clusterState,
            new QueueOrder(settings.teams(), settings.objectives()),
            settings.objectives(),
            tuning,
            wallOffsetMicros);
  }

  /** The jobs whose tasks found no place in the last pass. */
  List<UnplacedTasks> waiting() {
    return waiting;
  }

  /**
   * Makes a pass if it is time.
   *
   * @param mayPreempt true if every machine of earlier terms is accounted for
   */
  void tick(boolean mayPreempt, long nowMicros) {
    boolean due = nowMicros - lastPass >= MAX_PLACEMENT_INTERVAL_MICROS;
    if (nowMicros - lastPass < intervalMicros()
        || !(clusterState.pollPlacementRequested() || due)) {
      return;
    }
    lastPass = nowMicros;
    waiting = placer.placeTasks(nowMicros, recovery::allTasksKnown, fleet.typicalBootMicros());
    if (mayPreempt) {
      preemption.preempt(waiting, nowMicros);
    }
    direct.sendPending(nowMicros);
  }

  /** A pass looks at all jobs and machines: the more there are, the more changes share one. */
  private long intervalMicros() {
    int looked = clusterState.jobs().size() + clusterState.machines().size();
    return Math.min(
        MAX_PLACEMENT_INTERVAL_MICROS,
        Math.max(
            PLACEMENT_INTERVAL_MICROS, PLACEMENT_INTERVAL_MICROS * looked / FULL_RATE_MAX_ITEMS));
  }
}
