package org.dewreach.autoscaling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.dewreach.cloud.CloudClient;
import org.dewreach.cloud.ReleaseResult;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.state.ClusterState;
import org.dewreach.state.MachineRegistry;

/**
 * Releases machines to the cloud and keeps the names of the released ones.
 *
 * <p>A machine is first marked ({@link MachinePhase#TERMINATING}); all marked machines are released
 * with the next request.
 */
public final class ScaleInExecutor {
  private static final int MAX_MACHINES_PER_REQUEST = 100;
  private static final int MAX_REMEMBERED_NAMES = 4_000;
  private static final long RETRY_DELAY_MICROS = 1_000_000;

  private final ClusterState clusterState;
  private final MachineRegistry registry;
  private final CloudClient cloud;
  private final Set<String> releasedNames = new LinkedHashSet<>();
  private boolean requestInFlight;
  private long nextRequestAt;
  private boolean closed;

  /** Creates the executor of one term. */
  public ScaleInExecutor(ClusterState clusterState, MachineRegistry registry, CloudClient cloud) {
    this.clusterState = clusterState;
    this.registry = registry;
    this.cloud = cloud;
  }

  /** Closes the executor; later responses of the cloud are ignored. */
  public void close() {
    closed = true;
  }

  /** Marks a machine to be released with the next request. */
  public void markForRelease(Machine machine, String reason, long nowMicros) {
    clusterState.changePhase(machine, MachinePhase.TERMINATING, reason, nowMicros);
  }

  /** Sends a request to release the marked machines, unless one is in flight. */
  public void releaseMarked(long nowMicros) {
    if (requestInFlight || nowMicros < nextRequestAt || !cloud.mayCall(nowMicros)) {
      return;
    }
    List<String> names = markedNames();
    if (names.isEmpty()) {
      return;
    }
    requestInFlight = true;
    cloud.release(nowMicros, names, (respondedAt, result) -> onResult(names, result, respondedAt));
  }

  private List<String> markedNames() {
    List<String> names = new ArrayList<>();
    for (Machine machine : clusterState.machines().values()) {
      if (machine.phase() == MachinePhase.TERMINATING && names.size() < MAX_MACHINES_PER_REQUEST) {
        names.add(machine.name());
      }
    }
    return names;
  }

  private void onResult(List<String> names, ReleaseResult result, long nowMicros) {
    if (closed) {
      return;
    }
    requestInFlight = false;
    if (!(result instanceof ReleaseResult.Released)) {
      nextRequestAt = nowMicros + RETRY_DELAY_MICROS;
      return;
    }
    for (String name : names) {
      Machine machine = clusterState.machines().get(name);
      if (machine != null) {
        removeReleased(machine, nowMicros);
      }
    }
  }

  private void removeReleased(Machine machine, long nowMicros) {
    clusterState.removeMachine(machine, "released", nowMicros);
    registry.deregister(machine, nowMicros);
    releasedNames.add(machine.name());
    if (releasedNames.size() > MAX_REMEMBERED_NAMES) {
      releasedNames.remove(releasedNames.iterator().next());
    }
  }

  /**
   * True if the machine was released. The cloud may still list it, and its heartbeats may still
   * arrive, for a while.
   */
  public boolean isReleased(String name) {
    return releasedNames.contains(name);
  }
}
