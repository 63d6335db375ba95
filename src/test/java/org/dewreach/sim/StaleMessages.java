package org.dewreach.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.dewreach.port.Event;

/** Messages that arrive twice or far too late: by default only a few commands arrive twice. */
final class StaleMessages {
  private final Simulation simulation;
  private final Clock clock;
  private final Random random;

  /** Share of heartbeats, transactions and rentals of which a late copy follows, in thousandths. */
  int lateCopyShare;

  /** Share of commands of which a late copy follows, in thousandths. */
  int commandCopyShare = 10;

  /** Share of direct commands that are delayed, in thousandths, and until when. */
  private int delayedCommandShare;

  private long delayCommandsUntil;

  /** Commands that were delayed and carried out only after the leader key was written anew. */
  int staleCommandsDelivered;

  /** Heartbeats kept for the next leader, one of each machine. */
  private final Map<String, JsonNode> keptHeartbeats = new HashMap<>();

  private int keptHeartbeatShare;
  private long keepHeartbeatsUntil;

  /** Heartbeats that reached the controllers again as a new leader began. */
  int replayedHeartbeats;

  StaleMessages(Simulation simulation) {
    this.simulation = simulation;
    this.clock = simulation.clock;
    this.random = simulation.random;
  }

  /**
   * For a while some direct commands are delayed on their way: they get no answer and are carried
   * out once, 2 to 16 s late, if token and incarnation still match.
   *
   * @param share of the commands, in thousandths
   */
  void delayCommands(int share, long untilMicros) {
    delayedCommandShare = share;
    delayCommandsUntil = untilMicros;
  }

  /**
   * For a while a copy of some heartbeats is kept, the oldest of each machine, and reaches every
   * controller in the 1.5 s after the leader key was written anew.
   *
   * @param share of the heartbeats, in thousandths
   */
  void replayHeartbeatsToNextLeader(int share, long untilMicros) {
    keptHeartbeatShare = share;
    keepHeartbeatsUntil = untilMicros;
    simulation.state.onLeaderKeyWritten =
        simulation.state.onLeaderKeyWritten.andThen(name -> replayKeptHeartbeats());
  }

  private void replayKeptHeartbeats() {
    for (JsonNode heartbeat : keptHeartbeats.values()) {
      replayedHeartbeats++;
      for (String node : Simulation.CONTROLLERS) {
        clock.in(random.nextInt(1_500_000), () -> deliverHeartbeat(node, heartbeat));
      }
    }
    keptHeartbeats.clear();
  }

  private void deliverHeartbeat(String node, JsonNode heartbeat) {
    simulation.controllers.receive(
        node,
        new IncomingRequest(
            Event.Source.PUBLIC, "POST", "/hello", heartbeat, (status, answer) -> {}));
  }

  /** A heartbeat was sent: a copy may follow, and a copy may be kept for the next leader. */
  void onHeartbeatSent(String from, String node, JsonNode heartbeat) {
    maybeRepeat(() -> deliverHeartbeat(node, heartbeat));
    if (clock.now() < keepHeartbeatsUntil && random.nextInt(1000) < keptHeartbeatShare) {
      keptHeartbeats.putIfAbsent(from, heartbeat);
    }
  }

  /** A copy of something that was sent may come again, up to well over a lease later. */
  void maybeRepeat(Runnable delivery) {
    if (random.nextInt(1000) < lateCopyShare) {
      clock.in(random.nextLong(45_000_000), delivery);
    }
  }

  /** Whether the next command is one of those to be delayed. */
  boolean shouldDelayCommand() {
    return clock.now() < delayCommandsUntil && random.nextInt(1000) < delayedCommandShare;
  }

  /** Carries the command out seconds late, if the worker's process still is the same. */
  void deliverCommandLate(SimWorker worker, JsonNode command) {
    int processNumber = worker.processRestarts;
    int leaderKeys = simulation.state.leaderKeyWrites;
    clock.in(
        2_000_000 + random.nextInt(14_000_000),
        () -> {
          if (worker.processRestarts == processNumber) {
            staleCommandsDelivered += simulation.state.leaderKeyWrites > leaderKeys ? 1 : 0;
            worker.command(command, (status, answer) -> {});
          }
        });
  }

  /**
   * A late copy may follow a command that was carried out. It comes on the connection the command
   * was sent on, which does not outlive the worker's process (see docs/questions.md).
   */
  void maybeRepeatCommand(SimWorker worker, JsonNode command) {
    if (random.nextInt(1000) < commandCopyShare) {
      int processNumber = worker.processRestarts;
      clock.in(
          random.nextLong(40_000_000),
          () -> {
            if (worker.processRestarts == processNumber) {
              worker.command(command, (status, answer) -> {});
            }
          });
    }
  }
}
