package org.dewreach.store;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out why the store rejects a transaction of several writes: because it has too many
 * mutations, or because of one of its writes. The limit drops to the announced one, and then by
 * half each time, until the writes are accepted or one of them is rejected alone; in that case the
 * limit was not the reason, and is restored.
 */
final class TransactionSizeSearch {
  private static final Logger LOG = LoggerFactory.getLogger(TransactionSizeSearch.class);

  private final WriteLimits limits;

  /** The writes of rejected transactions whose outcome is not known yet. */
  private final Set<ConditionalWrite> suspects = Collections.newSetFromMap(new IdentityHashMap<>());

  private int limitBefore;

  TransactionSizeSearch(WriteLimits limits) {
    this.limits = limits;
  }

  /** Records that a transaction of several writes was rejected. */
  void onRejected(List<ConditionalWrite> writes, int mutations) {
    if (suspects.isEmpty()) {
      limitBefore = limits.maxMutations();
    }
    suspects.addAll(writes);
    limits.maxMutations(Math.max(1, mutations / 2));
  }

  /** Records that a write was rejected in a transaction of its own. */
  void onRejectedAlone() {
    stop();
  }

  /** Records that the store processed a transaction with the given writes. */
  void onProcessed(List<ConditionalWrite> writes) {
    if (suspects.isEmpty()) {
      return;
    }
    writes.forEach(suspects::remove);
    if (suspects.isEmpty()) {
      LOG.warn(
          "transaction limit lowered: max_mutations={} before={}",
          limits.maxMutations(),
          limitBefore);
    }
  }

  /** Ends an unfinished search and restores the limit. */
  void stop() {
    if (!suspects.isEmpty()) {
      suspects.clear();
      limits.maxMutations(limitBefore);
    }
  }
}
