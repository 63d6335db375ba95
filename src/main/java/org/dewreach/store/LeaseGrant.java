package org.dewreach.store;

/** A lease that was granted, or renewed, for its full TTL. */
public record LeaseGrant(long leaseId) implements LeaseResult {}
