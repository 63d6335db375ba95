/**
 * Placement of pending tasks, preemption, and the migration of running tasks to better machines.
 *
 * <p>Decides by the cluster state alone and changes only bindings in it; sends nothing. The choice
 * among machines is made in {@code placement}.
 */
package org.dewreach.scheduling;
