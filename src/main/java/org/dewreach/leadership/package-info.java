/**
 * Leader election, and the time for which a leader has authority.
 *
 * <p>The leader holds a key in the key-value store, attached to a lease that it keeps renewing. The
 * term is the revision at which the key was written, and serves as the workers' fencing token.
 * {@link org.dewreach.leadership.Election} is the state machine of one controller in the election,
 * {@link org.dewreach.leadership.LeaderAuthority} computes until when a term may act, {@link
 * org.dewreach.leadership.FollowerGrants} let it continue through an outage of the store, and
 * {@link org.dewreach.leadership.DelegateRenewer} with {@link
 * org.dewreach.leadership.LeaseDelegations} let a controller that has lost contact renew the leases
 * of the workers in its own zone.
 *
 * <p>Owns the leader key, grants and delegations. May call {@code store} and {@code peer}; does not
 * depend on jobs or machines. Not thread-safe; runs on the controller's event loop.
 */
package org.dewreach.leadership;
