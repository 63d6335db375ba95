package org.dewreach.leadership;

import java.util.List;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.LeaseGrant;
import org.dewreach.store.LeaseResult;
import org.dewreach.store.Mutation;
import org.dewreach.store.Precondition;
import org.dewreach.store.ResultHandler;
import org.dewreach.store.TransactionResult;

/** A claim of this node to the leader key: the lease opened for it, and the write of the key. */
final class LeaderClaim {
  /** Timeout of each request of a claim. A default of this project. */
  private static final long REQUEST_TIMEOUT_MICROS = 1_500_000;

  private static final long MICROS_PER_MS = 1_000;

  private final KeyValueStore store;
  private final String self;
  private final String bootId;
  private long leaseId;
  private long leaseRequestedAt;

  /**
   * Without a lease yet.
   *
   * @param bootId identifies this process among those of the same name
   */
  LeaderClaim(KeyValueStore store, String self, String bootId) {
    this.store = store;
    this.self = self;
    this.bootId = bootId;
  }

  /** Opens the lease; its time counts from now. */
  void openLease(long nowMicros, ResultHandler<LeaseResult> handler) {
    store.grantLease(
        LeaderAuthority.LEASE_TTL_MICROS / MICROS_PER_MS,
        REQUEST_TIMEOUT_MICROS,
        (now, result) -> {
          if (result instanceof LeaseGrant grant) {
            leaseId = grant.leaseId();
            leaseRequestedAt = nowMicros;
          }
          handler.onResult(now, result);
        });
  }

  /** Writes the leader key with the lease, unless the key is there. */
  void writeKey(ResultHandler<TransactionResult> handler) {
    store.commit(
        List.of(Precondition.absent(Keys.LEADER)),
        List.of(Mutation.put(Keys.LEADER, new LeaderRecord(self, bootId).encode())),
        leaseId,
        REQUEST_TIMEOUT_MICROS,
        handler);
  }

  /** True if this is the claim's lease. */
  boolean hasLease(long otherLeaseId) {
    return leaseId == otherLeaseId;
  }

  /** The lease that was opened last, or 0 once it was given up. */
  long leaseId() {
    return leaseId;
  }

  /** When the opening of the lease was sent. */
  long leaseRequestedAt() {
    return leaseRequestedAt;
  }

  /** The lease is revoked by other means. */
  void clearLease(long endedLeaseId) {
    if (hasLease(endedLeaseId)) {
      leaseId = 0;
    }
  }

  /** Ends the lease of a claim that is not wanted any more; a late put with it is then refused. */
  void abandon() {
    if (leaseId > 0) {
      long old = leaseId;
      leaseId = 0;
      store.revokeLease(old, (now, result) -> {});
    }
  }
}
