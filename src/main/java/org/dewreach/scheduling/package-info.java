/**
 * Placement of pending tasks, preemption, and the migration of running tasks to better machines.
 *
 * <p>Decides from the cluster state alone and changes only task bindings and cordons in it. The
 * order of the queue and the choice among machines come from the {@code placement} package. This
 * package sends no messages, and neither rents nor releases machines.
 *
 * <p>Not thread-safe; runs on the controller's event loop.
 */
package org.dewreach.scheduling;
