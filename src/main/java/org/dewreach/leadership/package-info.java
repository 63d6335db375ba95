/**
 * Who leads, and for how long it may act.
 *
 * <p>The leader holds a key in the key-value store, attached to a lease that it keeps renewing; the
 * term is the revision at which the key was written, and the workers' fencing token. {@link
 * org.dewreach.leadership.Election} is the state machine of one controller, {@link
 * org.dewreach.leadership.LeaderAuthority} says until when a term may act, {@link
 * org.dewreach.leadership.FollowerGrants} lets it act through an outage of the store, and {@link
 * org.dewreach.leadership.DelegateRenewer} with {@link org.dewreach.leadership.LeaseDelegations}
 * lets a controller that lost contact renew the leases of its own zone's workers.
 *
 * <p>Owns the leader key and what nodes promise each other about it. May call {@code store} and
 * {@code peer}; it knows nothing of jobs or machines. Not thread-safe; runs on the controller's
 * event loop.
 */
package org.dewreach.leadership;
