/**
 * Machines: state machine of a rented machine, the tasks bound to it, and the resources and images
 * that the leader reckons with there.
 */
package org.dewreach.machine;
