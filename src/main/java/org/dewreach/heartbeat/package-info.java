/**
 * Workers' heartbeats: receiving them, reconciling the cluster state with them, and commands to
 * workers, whether in a heartbeat response or sent directly.
 *
 * <p>This package alone gives commands to workers. It reads and changes the {@code model} through
 * {@code state}, asks {@code membership} which machines are gone or silent, and sends through the
 * {@code port}. It never decides where a task runs, and never rents or returns a machine.
 *
 * <p>Not thread-safe; runs on the controller's event loop.
 */
package org.dewreach.heartbeat;
