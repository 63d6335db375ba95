package org.dewreach.store;

import java.util.List;

/** Changes that take effect together or not at all. */
public record Write(List<Condition> conditions, List<Change> changes, boolean urgent, Done done) {
  /** How a write ended. */
  public enum Outcome {
    /** Durable, at the revision given. */
    WRITTEN,
    /** A condition of its own failed; nothing was changed, and nothing of it will be. */
    CONFLICT,
    /** The queue was closed or full; whether it is applied is unknown. */
    UNKNOWN
  }

  /** Takes the outcome. */
  @FunctionalInterface
  public interface Done {
    void on(long nowMicros, Outcome outcome, long revision);
  }
}
