package org.dewreach.wire;

/** How a job's tasks run. */
public enum JobKind {
  /** Independent tasks; each runs to completion. */
  ARRAY("sweep"),
  /** Tasks that run to completion, and only all at the same time. */
  GANG("gang"),
  /** Replicas that run until the job is cancelled. */
  SERVICE("service");

  private final String word;

  JobKind(String word) {
    this.word = word;
  }

  /** The word on the wire. */
  public String word() {
    return word;
  }

  /** The value with the given word; any other word is malformed. */
  public static JobKind of(String word) throws MalformedException {
    for (JobKind jobKind : values()) {
      if (jobKind.word.equals(word)) {
        return jobKind;
      }
    }
    throw new MalformedException("shape", "unknown");
  }
}
