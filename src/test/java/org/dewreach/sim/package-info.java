/**
 * A simulated cluster around the real core: state service, cloud, workers, users and network.
 *
 * <p>Everything is drawn from one seed, so a failing run is played again by its seed. The checker
 * keeps its own cluster state from what workers do and what users are told.
 */
package org.dewreach.sim;
