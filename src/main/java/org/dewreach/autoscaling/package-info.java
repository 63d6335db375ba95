/**
 * Scale out and scale in: how much capacity is worth renting for the unplaced tasks, which machines
 * to rent for it, and which machines to cordon and release.
 *
 * <p>Scale out, in the order of each round: {@link org.dewreach.autoscaling.CapacityDemand} turns
 * unplaced tasks into requirements, {@link org.dewreach.autoscaling.ScalingPlanner} turns these
 * into rentals, and {@link org.dewreach.autoscaling.ScaleOutExecutor} sends the requests. Scale in:
 * {@link org.dewreach.autoscaling.ScaleInPolicy} cordons and marks machines, {@link
 * org.dewreach.autoscaling.ScaleInExecutor} releases those that are marked.
 *
 * <p>No other package rents or releases machines. This package never binds or stops tasks. Not
 * thread-safe; runs on the controller's event loop.
 */
package org.dewreach.autoscaling;
