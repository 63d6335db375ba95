package org.dewreach.store;

/** Outcome of granting, renewing or revoking a lease. */
public sealed interface LeaseResult permits LeaseGrant, LeaseResult.Expired, RequestFailure {
  /** The lease no longer exists: it expired or was revoked, and its keys are deleted. */
  record Expired() implements LeaseResult {}
}
