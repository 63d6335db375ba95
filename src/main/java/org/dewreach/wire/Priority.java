package org.dewreach.wire;

/** Priority of a job, from the highest to the lowest. */
public enum Priority {
  /** Work that serves users directly. */
  PRODUCTION("production"),
  /** Work that takes precedence over ordinary work. */
  HIGH("high"),
  /** Ordinary work. */
  NORMAL("normal"),
  /** Work that runs on capacity that no other work needs. */
  LOW("low");

  private final String wireName;

  Priority(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the wire form. */
  public String wireName() {
    return wireName;
  }

  /** True if work of this priority may preempt work of the other priority. */
  public boolean outranks(Priority other) {
    return ordinal() < other.ordinal();
  }

  /** Returns the value with the given wire form; any other text is malformed. */
  public static Priority of(String name) throws MalformedException {
    for (Priority priority : values()) {
      if (priority.wireName.equals(name)) {
        return priority;
      }
    }
    throw new MalformedException("urgency", "unknown");
  }
}
