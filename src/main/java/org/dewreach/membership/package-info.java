/**
 * Which machines belong to the cluster and can be relied on: health by heartbeats and leases, what
 * a new leader has not heard yet, graceful eviction, and reconciliation with the cloud's list.
 *
 * <p>{@link org.dewreach.membership.FleetManager} runs these parts and the autoscaling in rounds.
 */
package org.dewreach.membership;
