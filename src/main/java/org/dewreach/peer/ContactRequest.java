package org.dewreach.peer;

import java.util.List;

/**
 * A leader that hears hardly any worker asks another controller which of them it hears.
 *
 * @param machines some of the machines that the leader does not hear
 * @param maxHeartbeatAgeMicros the age up to which a heartbeat counts
 */
public record ContactRequest(List<String> machines, long maxHeartbeatAgeMicros) {}
