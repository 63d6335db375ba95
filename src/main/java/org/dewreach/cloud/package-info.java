/**
 * Client of the cloud provider's API: the machine type catalog, and renting, releasing and listing
 * machines.
 *
 * <p>Implements the wire form of these requests and the rate limit that they share. {@code
 * autoscaling} and {@code membership} decide which machines are rented and released. Not
 * thread-safe; runs on the controller's event loop.
 */
package org.dewreach.cloud;
