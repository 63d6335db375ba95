/**
 * Client of the cloud provider's API: catalog of machine types, renting, returning, listing.
 *
 * <p>All requests go through one rate limit. The package sends requests and reads no answers; what
 * to rent is decided in {@code autoscaling} and {@code membership}.
 */
package org.dewreach.cloud;
