package org.dewreach.store;

/** A lease that was granted, or renewed, for its full time. */
public record LeaseGrant(long leaseId) implements LeaseResult {}
