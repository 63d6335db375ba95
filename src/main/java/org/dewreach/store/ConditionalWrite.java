package org.dewreach.store;

import java.util.List;

/**
 * Changes that take effect together or not at all.
 *
 * @param conditions what has to hold for them, beside the leader key
 * @param changes the puts and deletes
 * @param urgent true if it goes before writes that nobody waits for
 * @param done takes the outcome
 */
public record ConditionalWrite(
    List<Precondition> conditions, List<Mutation> changes, boolean urgent, Done done) {
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
    /**
     * Called once per write.
     *
     * @param revision the revision at which it is durable, if it was written
     */
    void on(long nowMicros, Outcome outcome, long revision);
  }
}
