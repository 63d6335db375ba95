package org.dewreach.store;

import java.util.Set;

/** Outcome of a transaction. */
public sealed interface TransactionResult
    permits TransactionResult.Committed, TransactionResult.PreconditionFailed, RequestFailure {
  /**
   * All changes were made.
   *
   * @param revision the revision at which they were made
   */
  record Committed(long revision) implements TransactionResult {}

  /**
   * Nothing was changed, because some keys do not have their expected revisions.
   *
   * @param keys the keys that the store names; it may name only some
   */
  record PreconditionFailed(Set<String> keys) implements TransactionResult {}
}
