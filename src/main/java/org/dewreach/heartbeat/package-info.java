/**
 * Workers' heartbeats: receives them, reconciles the cluster state with them, and sends commands to
 * workers, in a heartbeat response or directly.
 *
 * <p>Only this package sends commands to workers. It reads and changes the {@code model} through
 * {@code state}, queries {@code membership} for machines that are gone or silent, and sends through
 * the {@code port}. It never decides where a task runs, and never rents or releases a machine.
 *
 * <p>Not thread-safe; runs on the controller's event loop.
 */
package org.dewreach.heartbeat;
