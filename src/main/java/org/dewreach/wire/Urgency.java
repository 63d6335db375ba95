package org.dewreach.wire;

/** Priority of a job, most urgent first. */
public enum Urgency {
  PRODUCTION("production"),
  HIGH("high"),
  NORMAL("normal"),
  LOW("low");

  private final String word;

  Urgency(String word) {
    this.word = word;
  }

  public String word() {
    return word;
  }

  /** True if work of this urgency may stop work of the other. */
  public boolean above(Urgency other) {
    return ordinal() < other.ordinal();
  }

  public static Urgency of(String word) throws MalformedException {
    for (Urgency urgency : values()) {
      if (urgency.word.equals(word)) {
        return urgency;
      }
    }
    throw new MalformedException("urgency: unknown");
  }
}
