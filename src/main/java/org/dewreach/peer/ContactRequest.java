package org.dewreach.peer;

import java.util.List;

/**
 * A request of a leader that receives heartbeats from hardly any worker: asks another controller
 * how many of the named machines send heartbeats to that controller.
 *
 * @param machines some of the machines from which the leader receives no heartbeats
 * @param maxHeartbeatAgeMicros the age up to which a received heartbeat counts
 */
public record ContactRequest(List<String> machines, long maxHeartbeatAgeMicros) {}
