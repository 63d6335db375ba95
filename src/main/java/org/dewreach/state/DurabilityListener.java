package org.dewreach.state;

import org.dewreach.model.Job;

/** Told when something became durable, or can not become so in this term. */
public interface DurabilityListener {
  /** A new or imported job is durable. */
  void onAccepted(Job job, long nowMicros);

  /** A job's cancellation is durable. */
  void onCancelled(Job job, long nowMicros);

  /** A job's final state is durable. */
  void onEnded(Job job, long nowMicros);

  /** Machines are durably registered for commands. */
  void onMachinesRegistered(long nowMicros);

  /** A write failed in a way that only an outdated revision here explains: the term must end. */
  void onRecordConflict(String reason, long nowMicros);
}
