package org.dewreach.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Writes that share one transaction, which is sent unchanged until its outcome is known.
 *
 * <p>Each value that it puts contains the transaction's id, which identifies an earlier copy that
 * was applied without a response.
 */
final class GroupedTransaction {
  private final String id;
  private final List<ConditionalWrite> writes;
  private boolean responseMissed;

  /**
   * Creates a transaction of the given writes, and adds its id to the values that they put.
   *
   * @param id unique among all transactions
   */
  GroupedTransaction(String id, List<ConditionalWrite> writes) {
    this.id = id;
    this.writes = writes;
    for (Mutation mutation : mutations()) {
      if (!mutation.isDelete()) {
        mutation.value().put(CommitQueue.TRANSACTION_ID_FIELD, id);
      }
    }
  }

  String id() {
    return id;
  }

  List<ConditionalWrite> writes() {
    return writes;
  }

  /** True if a copy of it was sent and got no response, so that the copy may have been applied. */
  boolean responseMissed() {
    return responseMissed;
  }

  void markResponseMissed() {
    responseMissed = true;
  }

  /** True if it contains the given write, compared by identity. */
  boolean contains(ConditionalWrite write) {
    return writes.stream().anyMatch(other -> other == write);
  }

  List<Precondition> preconditions(Precondition leaderKey) {
    List<Precondition> preconditions = new ArrayList<>();
    preconditions.add(leaderKey);
    writes.forEach(write -> preconditions.addAll(write.preconditions()));
    return preconditions;
  }

  List<Mutation> mutations() {
    List<Mutation> mutations = new ArrayList<>();
    writes.forEach(write -> mutations.addAll(write.mutations()));
    return mutations;
  }

  /**
   * Returns the writes of which a precondition names one of the given keys. The store may name only
   * some of the failed keys; if none of them belongs to a write, the group cannot make progress,
   * and all writes are returned.
   */
  List<ConditionalWrite> failedWrites(Set<String> failedKeys) {
    List<ConditionalWrite> failed =
        writes.stream()
            .filter(
                write ->
                    write.preconditions().stream()
                        .anyMatch(precondition -> failedKeys.contains(precondition.key())))
            .toList();
    return failed.isEmpty() ? writes : failed;
  }

  /** Returns the size of the largest value that it puts in the JSON form, or 0. */
  int largestValueBytes() {
    return writes.stream().mapToInt(ConditionalWrite::largestValueBytes).max().orElse(0);
  }

  /** Returns the keys that it changes, for log lines. */
  List<String> keys() {
    return mutations().stream().map(Mutation::key).toList();
  }
}
