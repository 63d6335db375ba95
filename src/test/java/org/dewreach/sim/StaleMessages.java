package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.dewreach.port.Event;

/** Delivers messages twice or very late; by default only 1 % of the commands arrive twice. */
final class StaleMessages {
  private final Simulation simulation;
  private final Clock clock;
  private final Random random;

  /** The share of heartbeats, transactions and rentals that a late copy follows, in thousandths. */
  int lateCopyShare;

  /** The share of commands that a late copy follows, in thousandths. */
  int commandCopyShare = 10;

  /** The number of late copies of a command that is repeated. */
  int copiesPerCommand = 1;

  /** The share of direct commands that are delayed, in thousandths. */
  private int delayedCommandShare;

  private long delayCommandsUntil;

  /** The number of delayed commands that were delivered after the leader key was written again. */
  int staleCommandsDelivered;

  /** Heartbeats to replay to the next leader, at most one of each worker. */
  private final Map<String, JsonNode> keptHeartbeats = new HashMap<>();

  private int keptHeartbeatShare;
  private long keepHeartbeatsUntil;

  /** The number of heartbeats that were replayed when the leader key was written. */
  int replayedHeartbeats;

  StaleMessages(Simulation simulation) {
    this.simulation = simulation;
    this.clock = simulation.clock;
    this.random = simulation.random;
  }

  /**
   * Delays some direct commands until the given time: they get no response and are delivered once,
   * 2 to 16 s late. The worker executes them if fencing token and incarnation still match.
   *
   * @param share the share of the commands that are delayed, in thousandths
   */
  void delayCommands(int share, long untilMicros) {
    delayedCommandShare = share;
    delayCommandsUntil = untilMicros;
  }

  /**
   * Keeps copies of some heartbeats until the given time, the oldest of each worker, and replays
   * them to every controller within 1.5 s after the leader key is written again.
   *
   * @param share the share of the heartbeats that are kept, in thousandths
   */
  void replayHeartbeatsToNextLeader(int share, long untilMicros) {
    keptHeartbeatShare = share;
    keepHeartbeatsUntil = untilMicros;
    simulation.store.onLeaderKeyWritten =
        simulation.store.onLeaderKeyWritten.andThen(name -> replayKeptHeartbeats());
  }

  private void replayKeptHeartbeats() {
    for (JsonNode heartbeat : keptHeartbeats.values()) {
      replayedHeartbeats++;
      for (String controller : Simulation.CONTROLLERS) {
        clock.in(random.nextInt(1_500_000), () -> deliverHeartbeat(controller, heartbeat));
      }
    }
    keptHeartbeats.clear();
  }

  private void deliverHeartbeat(String controller, JsonNode heartbeat) {
    simulation.controllers.receive(
        controller,
        new IncomingRequest(
            Event.Source.PUBLIC, "POST", "/hello", heartbeat, (status, response) -> {}));
  }

  /** Called when a heartbeat is sent; may deliver a copy later or keep one for the next leader. */
  void onHeartbeatSent(String from, String controller, JsonNode heartbeat) {
    maybeRepeat(() -> deliverHeartbeat(controller, heartbeat));
    if (clock.now() < keepHeartbeatsUntil && random.nextInt(1000) < keptHeartbeatShare) {
      keptHeartbeats.putIfAbsent(from, heartbeat);
    }
  }

  /** May deliver a copy of a message, up to 45 s and so well over a lease later. */
  void maybeRepeat(Runnable delivery) {
    if (random.nextInt(1000) < lateCopyShare) {
      clock.in(random.nextLong(45_000_000), delivery);
    }
  }

  /** Draws whether the next direct command is delayed. */
  boolean shouldDelayCommand() {
    return clock.now() < delayCommandsUntil && random.nextInt(1000) < delayedCommandShare;
  }

  /** Delivers the command 2 to 16 s late, if the worker process has not been restarted. */
  void deliverCommandLate(SimWorker worker, JsonNode command) {
    int restartsBefore = worker.processRestarts;
    int writesBefore = simulation.store.leaderKeyWrites;
    clock.in(
        2_000_000 + random.nextInt(14_000_000),
        () -> {
          if (worker.processRestarts == restartsBefore) {
            staleCommandsDelivered += simulation.store.leaderKeyWrites > writesBefore ? 1 : 0;
            worker.command(command, (status, response) -> {});
          }
        });
  }

  /**
   * May deliver late copies of a command that was delivered. A copy arrives on the connection of
   * the command, which does not outlive the worker process (see docs/questions.md).
   */
  void maybeRepeatCommand(SimWorker worker, JsonNode command) {
    if (random.nextInt(1000) < commandCopyShare) {
      for (int i = 0; i < copiesPerCommand; i++) {
        deliverCopy(worker, command);
      }
    }
  }

  private void deliverCopy(SimWorker worker, JsonNode command) {
    int restartsBefore = worker.processRestarts;
    clock.in(
        random.nextLong(40_000_000),
        () -> {
          if (worker.processRestarts == restartsBefore) {
            worker.command(command, (status, response) -> {});
          }
        });
  }
}
