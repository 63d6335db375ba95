package org.dewreach.leadership;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When each worker last sent a heartbeat to this controller, whoever led then.
 *
 * <p>A leader that hears hardly any worker asks the others for it: only what they hear speaks for
 * handing over. Not thread-safe; runs on the controller's event loop.
 */
public final class LastHeartbeatTimes {
  /** Contacts older than this tell nothing about now. */
  private static final long RETENTION_MICROS = 60_000_000;

  /** By machine; the one that was heard longest ago comes first. */
  private final Map<String, Long> lastHeartbeats = new LinkedHashMap<>();

  /** Records a heartbeat that reached this controller, whatever it is answered. */
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

  /** How many of the machines sent this controller a heartbeat at the given time or later. */
  public int countSeenSince(Collection<String> machines, long sinceMicros) {
    int heard = 0;
    for (String machine : machines) {
      Long lastHeartbeat = lastHeartbeats.get(machine);
      if (lastHeartbeat != null && lastHeartbeat >= sinceMicros) {
        heard++;
      }
    }
    return heard;
  }
}
