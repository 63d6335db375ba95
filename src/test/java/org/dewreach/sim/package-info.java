/**
 * A deterministic simulation of a cluster: the production controllers with a simulated key-value
 * store, cloud, workers, users and network.
 *
 * <p>All random choices come from one seed, so a failing run can be reproduced from its seed. The
 * checker keeps its own view of the cluster, from the tasks that workers run and the responses that
 * users receive.
 */
package org.dewreach.sim;
