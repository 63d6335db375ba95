package org.dewreach.leadership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.dewreach.port.Outbox;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.Mutation;
import org.dewreach.store.Precondition;
import org.dewreach.wire.Codec;
import org.dewreach.wire.HttpStatus;

/** A claim of this node to the leader key: the lease opened for it, and the write of the key. */
final class LeaderClaim {
  /** Timeout of each request of a claim. A default of this project. */
  private static final long TIMEOUT_MICROS = 1_500_000;

  private static final long MICROS_PER_MS = 1_000;

  private final KeyValueStore state;
  private final String self;
  private final String boot;
  private long leaseId;
  private long leaseSentAt;

  /**
   * Without a lease yet.
   *
   * @param boot identifies this process among those of the same name
   */
  LeaderClaim(KeyValueStore state, String self, String boot) {
    this.state = state;
    this.self = self;
    this.boot = boot;
  }

  /** Opens the lease; its time counts from now. */
  void openLease(long nowMicros, Outbox.ReplyHandler handler) {
    state.openLease(
        LeaderAuthority.LEASE_TTL_MICROS / MICROS_PER_MS,
        TIMEOUT_MICROS,
        (now, status, body) -> {
          if (status == HttpStatus.OK) {
            leaseId = body.path("hold").asLong();
            leaseSentAt = nowMicros;
          }
          handler.onReply(now, status, body);
        });
  }

  /** Writes the leader key with the lease, unless the key is there. */
  void writeKey(Outbox.ReplyHandler handler) {
    ObjectNode data = Codec.map().put("name", self).put("boot", boot);
    state.commit(
        List.of(new Precondition(Keys.LEADER, 0)),
        List.of(new Mutation(Keys.LEADER, data)),
        leaseId,
        TIMEOUT_MICROS,
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
  long leaseSentAt() {
    return leaseSentAt;
  }

  /** The lease is revoked by other means. */
  void forget(long endedLeaseId) {
    if (hasLease(endedLeaseId)) {
      leaseId = 0;
    }
  }

  /** Ends the lease of a claim that is not wanted any more; a late put with it is then refused. */
  void abandon() {
    if (leaseId > 0) {
      long old = leaseId;
      leaseId = 0;
      state.revokeLease(old, (now, status, body) -> {});
    }
  }
}
