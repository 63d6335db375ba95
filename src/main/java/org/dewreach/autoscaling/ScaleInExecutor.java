package org.dewreach.autoscaling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.dewreach.cloud.CloudClient;
import org.dewreach.model.Machine;
import org.dewreach.model.MachinePhase;
import org.dewreach.state.ClusterState;
import org.dewreach.state.MachineRegistry;
import org.dewreach.wire.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Returns machines to the cloud and remembers those that are gone. */
public final class ScaleInExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleInExecutor.class);

  private static final int MAX_RETURNED_PER_CALL = 100;
  private static final int MAX_REMEMBERED_NAMES = 4_000;
  private static final long RETRY_DELAY_MICROS = 1_000_000;

  private final ClusterState clusterState;
  private final MachineRegistry registry;
  private final CloudClient cloud;
  private final Set<String> releasedNames = new LinkedHashSet<>();
  private boolean inFlight;
  private long nextTryAt;
  private boolean closed;

  public ScaleInExecutor(ClusterState clusterState, MachineRegistry registry, CloudClient cloud) {
    this.clusterState = clusterState;
    this.registry = registry;
    this.cloud = cloud;
  }

  /** Ignores all later answers of the cloud. */
  public void close() {
    closed = true;
  }

  /** Marks a machine to be returned with the next call. */
  public void markForRelease(Machine machine, String why, long nowMicros) {
    LOG.info("machine {} is to be returned: {}", machine.name(), why);
    machine.become(MachinePhase.TERMINATING, nowMicros);
    clusterState.requestPlacement();
  }

  /** Returns the machines that are marked, unless a call is in flight. */
  public void releaseMarked(long nowMicros) {
    if (inFlight || nowMicros < nextTryAt || !cloud.mayCall(nowMicros)) {
      return;
    }
    List<String> names = markedNames();
    if (names.isEmpty()) {
      return;
    }
    inFlight = true;
    cloud.release(
        nowMicros, names, (answeredAt, status, body) -> onAnswer(names, status, answeredAt));
  }

  private List<String> markedNames() {
    List<String> names = new ArrayList<>();
    for (Machine machine : clusterState.machines().values()) {
      if (machine.phase() == MachinePhase.TERMINATING && names.size() < MAX_RETURNED_PER_CALL) {
        names.add(machine.name());
      }
    }
    return names;
  }

  private void onAnswer(List<String> names, int status, long nowMicros) {
    if (closed) {
      return;
    }
    inFlight = false;
    if (status != HttpStatus.OK) {
      nextTryAt = nowMicros + RETRY_DELAY_MICROS;
      return;
    }
    for (String name : names) {
      Machine machine = clusterState.machines().get(name);
      if (machine != null) {
        forget(machine, "returned", nowMicros);
      }
    }
  }

  private void forget(Machine machine, String why, long nowMicros) {
    clusterState.gone(machine, why, nowMicros);
    registry.forget(machine, nowMicros);
    releasedNames.add(machine.name());
    if (releasedNames.size() > MAX_REMEMBERED_NAMES) {
      releasedNames.remove(releasedNames.iterator().next());
    }
  }

  /** A machine that was returned may still be listed, or heard of, for a while. */
  public boolean isReleased(String name) {
    return releasedNames.contains(name);
  }
}
