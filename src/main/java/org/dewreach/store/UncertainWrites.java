package org.dewreach.store;

import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The writes that were part of a transaction without a response and are now sent in another one.
 * The earlier transaction may have been applied, or may yet be, whatever the response to the later
 * one: only a stored value that contains its id tells.
 */
final class UncertainWrites {
  private final Map<ConditionalWrite, Set<String>> transactionIds = new IdentityHashMap<>();

  /** Adds the writes of a transaction that is taken apart, if a response to it was missed. */
  void addIfUncertain(GroupedTransaction transaction) {
    if (transaction.responseMissed()) {
      for (ConditionalWrite write : transaction.writes()) {
        transactionIds.computeIfAbsent(write, key -> new HashSet<>()).add(transaction.id());
      }
    }
  }

  boolean contains(ConditionalWrite write) {
    return transactionIds.containsKey(write);
  }

  /** True if a transaction with the write, the given one or an earlier one, may be applied. */
  boolean mayBeApplied(ConditionalWrite write, GroupedTransaction current) {
    return write.firstPutKey().isPresent() && (current.responseMissed() || contains(write));
  }

  /**
   * Returns those writes of a transaction that were applied together with a value: they were part
   * of the transaction whose id it contains, which is this one or an earlier one.
   */
  List<ConditionalWrite> appliedWith(KeyValue entry, GroupedTransaction current) {
    String writtenBy = entry.value().path(CommitQueue.TRANSACTION_ID_FIELD).asText();
    if (current.responseMissed() && current.id().equals(writtenBy)) {
      return current.writes();
    }
    return current.writes().stream()
        .filter(write -> transactionIds.getOrDefault(write, Set.of()).contains(writtenBy))
        .toList();
  }

  /** Removes a write whose outcome is known. */
  void remove(ConditionalWrite write) {
    transactionIds.remove(write);
  }

  void clear() {
    transactionIds.clear();
  }
}
