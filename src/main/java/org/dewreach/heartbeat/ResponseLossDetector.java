package org.dewreach.heartbeat;

import org.dewreach.model.Machine;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds machines whose heartbeats arrive while our responses and commands do not reach them.
 *
 * <p>Guards against tasks placed where they never start, beside others that die with the machine's
 * lease.
 */
final class ResponseLossDetector {
  private static final Logger LOG = LoggerFactory.getLogger(ResponseLossDetector.class);

  private final long term;
  private final ClusterState clusterState;

  ResponseLossDetector(long term, ClusterState clusterState) {
    this.term = term;
    this.clusterState = clusterState;
  }

  /**
   * Judges by a heartbeat whether the response to the heartbeat before it arrived.
   *
   * @param newIncarnation true if the worker's lease expired since then
   * @param previousHeartbeatMicros when the heartbeat before it came
   */
  void onHeartbeat(Observation observation, boolean newIncarnation, long previousHeartbeatMicros) {
    Machine machine = observation.machine();
    boolean tokenArrived = observation.heartbeat().token() == term;
    boolean arrived =
        tokenArrived && !newIncarnation && !startMissing(observation, previousHeartbeatMicros);
    boolean wasMissing = machine.heartbeats().missesResponses();
    machine.heartbeats().recordResponseDelivery(arrived);
    if (machine.heartbeats().missesResponses() != wasMissing) {
      LOG.info(
          "machine response delivery changed: machine={} from={} to={}",
          machine.name(),
          word(wasMissing),
          word(machine.heartbeats().missesResponses()));
      clusterState.requestPlacement();
    }
  }

  private static String word(boolean missing) {
    return missing ? "LOST" : "ARRIVING";
  }

  /** A start sent since the previous heartbeat may have passed this one on its way. */
  private static boolean startMissing(Observation observation, long previousHeartbeatMicros) {
    for (Task task : observation.machine().tasks()) {
      if (task.phase() == TaskPhase.STARTING
          && task.phaseSince() <= previousHeartbeatMicros
          && !observation.reports(task.name())) {
        return true;
      }
    }
    return false;
  }
}
