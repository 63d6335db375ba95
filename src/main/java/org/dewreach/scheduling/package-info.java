/**
 * Placement of pending tasks, preemption, and the migration of running tasks to better machines.
 *
 * <p>Decides by the cluster state alone and changes only bindings and cordons in it. The queue's
 * order and the choice among machines come from {@code placement}. Nothing is sent from here, and
 * no machine is rented or returned.
 *
 * <p>Not thread-safe; runs on the controller's event loop.
 */
package org.dewreach.scheduling;
