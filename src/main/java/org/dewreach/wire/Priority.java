package org.dewreach.wire;

/** Priority of a job, most urgent first. */
public enum Priority {
  /** Serves users right now. */
  PRODUCTION("production"),
  /** Goes before ordinary work. */
  HIGH("high"),
  /** Ordinary work. */
  NORMAL("normal"),
  /** Runs on what the others leave. */
  LOW("low");

  private final String word;

  Priority(String word) {
    this.word = word;
  }

  /** The word on the wire. */
  public String word() {
    return word;
  }

  /** True if work of this urgency may stop work of the other. */
  public boolean outranks(Priority other) {
    return ordinal() < other.ordinal();
  }

  /** The value with the given word; any other word is malformed. */
  public static Priority of(String word) throws MalformedException {
    for (Priority priority : values()) {
      if (priority.word.equals(word)) {
        return priority;
      }
    }
    throw new MalformedException("urgency", "unknown");
  }
}
