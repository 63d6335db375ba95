package org.dewreach.state;

import org.dewreach.model.Job;

/**
 * Receives notifications when writes of the leader have become durable, or cannot become durable in
 * this term.
 */
public interface DurabilityListener {
  /** Called when a new or imported job is durable. */
  void onAccepted(Job job, long nowMicros);

  /** Called when a job's cancellation is durable. */
  void onCancelled(Job job, long nowMicros);

  /** Called when a job's final state is durable. */
  void onEnded(Job job, long nowMicros);

  /** Called when machines may have become durably registered for commands. */
  void onMachinesRegistered(long nowMicros);

  /**
   * Called when a write failed in a way that only an outdated revision in this controller explains,
   * so that the term must end.
   */
  void onRecordConflict(String reason, long nowMicros);
}
