package org.dewreach.model;

/** Whether a machine is presumed faulty because of task failures. */
public enum QuarantineState {
  /** The machine is not presumed faulty. */
  NONE,
  /** The machine is presumed faulty: no new tasks are placed on it. */
  QUARANTINED,
  /** The quarantine has ended by time: one new task at a time shows whether the machine works. */
  PROBATION
}
