/**
 * Client of the cloud provider's API: the catalog of machine types, renting, releasing and listing
 * machines.
 *
 * <p>Owns the wire form of these requests and the one rate limit that they share. It decides
 * nothing: what to rent and what to release is up to {@code autoscaling} and {@code membership}.
 * Not thread-safe; runs on the controller's event loop.
 */
package org.dewreach.cloud;
