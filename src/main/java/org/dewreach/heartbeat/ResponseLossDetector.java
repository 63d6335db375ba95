package org.dewreach.heartbeat;

import org.dewreach.model.Machine;
import org.dewreach.model.Task;
import org.dewreach.model.TaskPhase;
import org.dewreach.state.ClusterState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects machines whose heartbeats arrive while responses and commands do not reach them.
 *
 * <p>Guards against placing tasks where they never start, beside others that end when the machine's
 * lease expires.
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
   * Determines from a heartbeat whether the response to the previous heartbeat arrived.
   *
   * @param newIncarnation true if the worker's lease expired since then
   * @param previousHeartbeatMicros when the previous heartbeat arrived
   */
  void onHeartbeat(WorkerReport report, boolean newIncarnation, long previousHeartbeatMicros) {
    Machine machine = report.machine();
    boolean tokenArrived = report.heartbeat().token() == term;
    boolean arrived =
        tokenArrived && !newIncarnation && !startNotReported(report, previousHeartbeatMicros);
    boolean wasMissing = machine.heartbeats().missesResponses();
    machine.heartbeats().recordResponseDelivery(arrived);
    if (machine.heartbeats().missesResponses() != wasMissing) {
      LOG.info(
          "machine response delivery changed: machine={} from={} to={}",
          machine.name(),
          deliveryState(wasMissing),
          deliveryState(machine.heartbeats().missesResponses()));
      clusterState.requestPlacement();
    }
  }

  private static String deliveryState(boolean missing) {
    return missing ? "LOST" : "ARRIVING";
  }

  /**
   * True if a start is missing from the report although it should have arrived. A start sent since
   * the previous heartbeat does not count: it may have crossed this heartbeat on its way.
   */
  private static boolean startNotReported(WorkerReport report, long previousHeartbeatMicros) {
    for (Task task : report.machine().tasks()) {
      if (task.phase() == TaskPhase.STARTING
          && task.phaseSince() <= previousHeartbeatMicros
          && !report.reports(task.name())) {
        return true;
      }
    }
    return false;
  }
}
