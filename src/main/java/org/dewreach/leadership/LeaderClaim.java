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

/**
 * A claim of this controller to the leader key: the lease requested for it, and the write of the
 * key.
 */
final class LeaderClaim {
  private static final long REQUEST_TIMEOUT_MICROS = 1_500_000;

  private static final long MICROS_PER_MS = 1_000;

  private final KeyValueStore store;
  private final String self;
  private final String bootId;
  private long leaseId;
  private long leaseRequestedAt;

  /**
   * Creates a claim that has no lease yet.
   *
   * @param bootId identifies this process among all processes of this controller
   */
  LeaderClaim(KeyValueStore store, String self, String bootId) {
    this.store = store;
    this.self = self;
    this.bootId = bootId;
  }

  /** Requests the lease, whose time to live is counted from now. */
  void requestLease(long nowMicros, ResultHandler<LeaseResult> handler) {
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

  /** Writes the leader key with the lease, on the precondition that the key is absent. */
  void writeKey(ResultHandler<TransactionResult> handler) {
    store.commit(
        List.of(Precondition.absent(Keys.LEADER)),
        List.of(Mutation.put(Keys.LEADER, new LeaderRecord(self, bootId).encode())),
        leaseId,
        REQUEST_TIMEOUT_MICROS,
        handler);
  }

  /** True if the given lease is that of the claim. */
  boolean hasLease(long otherLeaseId) {
    return leaseId == otherLeaseId;
  }

  /** The lease that was granted last, or 0 after it was cleared or abandoned. */
  long leaseId() {
    return leaseId;
  }

  /** The time at which the request for the lease was sent. */
  long leaseRequestedAt() {
    return leaseRequestedAt;
  }

  /**
   * Clears the claim's lease without revoking it, if it is the given one, which is revoked
   * elsewhere.
   */
  void clearLease(long endedLeaseId) {
    if (hasLease(endedLeaseId)) {
      leaseId = 0;
    }
  }

  /**
   * Revokes the lease of a claim that is abandoned, so that the store rejects a delayed put with
   * that lease.
   */
  void abandon() {
    if (leaseId > 0) {
      long old = leaseId;
      leaseId = 0;
      store.revokeLease(old, (now, result) -> {});
    }
  }
}
