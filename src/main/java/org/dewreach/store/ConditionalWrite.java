package org.dewreach.store;

import java.util.List;

/**
 * Mutations that are applied together or not at all.
 *
 * @param preconditions what must hold for them, in addition to the precondition on the leader key
 * @param mutations the puts and deletes
 * @param urgency whether a user or a command to a machine waits for it
 * @param callback receives the outcome
 */
public record ConditionalWrite(
    List<Precondition> preconditions,
    List<Mutation> mutations,
    Urgency urgency,
    Callback callback) {
  /** Priority among the writes that wait for a transaction. */
  public enum Urgency {
    /** A user, or a command to a machine, waits for it. */
    URGENT,
    /** Nothing waits for it; it is sent after all urgent writes. */
    DEFERRABLE
  }

  /** The outcome of a write. */
  public enum Outcome {
    /** It is durable, at the revision given. */
    WRITTEN,
    /**
     * One of its preconditions failed, or the store rejected it; none of its mutations was or will
     * be applied.
     */
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
