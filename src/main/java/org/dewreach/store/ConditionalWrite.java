package org.dewreach.store;

import java.util.List;

/**
 * Changes that take effect together or not at all.
 *
 * @param preconditions what has to hold for them, beside the leader key
 * @param mutations the puts and deletes
 * @param urgency whether somebody waits for it
 * @param callback receives the outcome
 */
public record ConditionalWrite(
    List<Precondition> preconditions,
    List<Mutation> mutations,
    Urgency urgency,
    Callback callback) {
  /** Order among writes that wait for a transaction. */
  public enum Urgency {
    /** A user, or a command to a machine, waits for it. */
    URGENT,
    /** Nobody waits for it: it is sent after all urgent ones. */
    DEFERRABLE
  }

  /** How a write ended. */
  public enum Outcome {
    /** It is durable, at the revision given. */
    WRITTEN,
    /** A precondition of its own failed; nothing was changed, and nothing of it will be. */
    CONFLICT,
    /** The queue was closed; whether the write is applied is unknown. */
    UNKNOWN
  }

  /** Receives the outcome of a write. */
  @FunctionalInterface
  public interface Callback {
    /**
     * Called once per write.
     *
     * @param revision the revision at which it is durable, if it was written
     */
    void onOutcome(long nowMicros, Outcome outcome, long revision);
  }
}
