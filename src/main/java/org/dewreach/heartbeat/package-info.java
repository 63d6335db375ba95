/**
 * Workers' heartbeats: receiving them, reconciling the cluster state with them, and commands to
 * workers, whether in a heartbeat response or sent directly.
 *
 * <p>This package alone gives commands to workers. It never decides where a task runs.
 */
package org.dewreach.heartbeat;
