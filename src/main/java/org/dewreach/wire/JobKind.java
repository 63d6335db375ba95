package org.dewreach.wire;

/** How a job's tasks run. */
public enum JobKind {
  /** Independent tasks; each runs to completion. */
  ARRAY("sweep"),
  /** Tasks that run to completion and must all run at the same time. */
  GANG("gang"),
  /** Replicas that run until the job is cancelled. */
  SERVICE("service");

  private final String wireName;

  JobKind(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the wire form. */
  public String wireName() {
    return wireName;
  }

  /** Returns the value with the given wire form; any other text is malformed. */
  public static JobKind of(String name) throws MalformedException {
    for (JobKind jobKind : values()) {
      if (jobKind.wireName.equals(name)) {
        return jobKind;
      }
    }
    throw new MalformedException("shape", "unknown");
  }
}
