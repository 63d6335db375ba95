package org.dewreach.wire;

/** What a user is told about a job. */
public enum JobState {
  /** Accepted; no task has been started. */
  PENDING("pending"),
  /** Some task runs or has run. */
  RUNNING("running"),
  /** All tasks have completed. Final. */
  DONE("done"),
  /** Cancelled by its user. Final. */
  CANCELLED("withdrawn");

  private final String word;

  JobState(String word) {
    this.word = word;
  }

  /** The word on the wire. */
  public String word() {
    return word;
  }

  /** The value with the given word; any other word is malformed. */
  public static JobState of(String word) throws MalformedException {
    for (JobState jobState : values()) {
      if (jobState.word.equals(word)) {
        return jobState;
      }
    }
    throw new MalformedException("standing", "unknown");
  }
}
