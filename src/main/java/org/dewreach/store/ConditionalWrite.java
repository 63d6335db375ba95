package org.dewreach.store;

import java.util.List;
import java.util.Optional;
import org.dewreach.wire.Codec;

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
    /** One of its preconditions failed; none of its mutations was or will be applied. */
    CONFLICT,
    /**
     * The store rejected it, which says nothing about its preconditions: it exceeds a limit, or is
     * malformed. None of its mutations was or will be applied. It is rejected again unless it
     * changes.
     */
    REJECTED,
    /** The queue was closed; whether the write is applied is unknown. */
    UNKNOWN
  }

  /**
   * Returns the key whose value shows whether a transaction with this write was applied; empty if
   * the write only deletes keys.
   */
  Optional<String> firstPutKey() {
    return mutations.stream()
        .filter(mutation -> !mutation.isDelete())
        .map(Mutation::key)
        .findFirst();
  }

  /** Returns the size of its largest value in the JSON form, or 0 if it puts none. */
  int largestValueBytes() {
    return mutations.stream()
        .filter(mutation -> !mutation.isDelete())
        .mapToInt(mutation -> Codec.jsonBytes(mutation.value()))
        .max()
        .orElse(0);
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
