package org.dewreach.wire;

/** The state of a job, as reported to users. */
public enum JobState {
  /** The job was accepted; no task has started yet. */
  PENDING("pending"),
  /** At least one task runs or has run. */
  RUNNING("running"),
  /** All tasks have completed. This state is final. */
  DONE("done"),
  /** The job was cancelled by its user. This state is final. */
  CANCELLED("withdrawn");

  private final String wireName;

  JobState(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the wire form. */
  public String wireName() {
    return wireName;
  }

  /** Returns the value with the given wire form; any other text is malformed. */
  public static JobState of(String name) throws MalformedException {
    for (JobState jobState : values()) {
      if (jobState.wireName.equals(name)) {
        return jobState;
      }
    }
    throw new MalformedException("standing", "unknown");
  }
}
