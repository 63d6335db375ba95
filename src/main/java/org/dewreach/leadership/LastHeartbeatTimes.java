package org.dewreach.leadership;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The time of the last heartbeat that each worker sent to this controller, whichever controller led
 * at that time.
 *
 * <p>A leader that receives hardly any heartbeats queries the other controllers for how many of the
 * silent workers reach them, since a handover helps only if the workers reach another controller.
 * Not thread-safe; runs on the controller's event loop.
 */
public final class LastHeartbeatTimes {
  /** Older heartbeats are no evidence of the present reachability of a worker. */
  private static final long RETENTION_MICROS = 60_000_000;

  /** By machine, ordered from the oldest heartbeat to the latest. */
  private final Map<String, Long> lastHeartbeats = new LinkedHashMap<>();

  /** Records a heartbeat that reached this controller, whatever the response to it. */
  public void recordHeartbeat(String machine, long nowMicros) {
    // Removed first, so that it becomes the last entry.
    lastHeartbeats.remove(machine);
    lastHeartbeats.put(machine, nowMicros);
    dropOldest(nowMicros);
  }

  private void dropOldest(long nowMicros) {
    Iterator<Long> oldestFirst = lastHeartbeats.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next() < nowMicros - RETENTION_MICROS) {
      oldestFirst.remove();
    }
  }

  /**
   * Returns how many of the machines sent this controller a heartbeat at the given time or later.
   */
  public int countSeenSince(Collection<String> machines, long sinceMicros) {
    int seen = 0;
    for (String machine : machines) {
      Long lastHeartbeat = lastHeartbeats.get(machine);
      if (lastHeartbeat != null && lastHeartbeat >= sinceMicros) {
        seen++;
      }
    }
    return seen;
  }
}
