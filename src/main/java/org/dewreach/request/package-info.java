/**
 * Users' requests about jobs: parsing, concurrency limits, answers of the leader, forwarding to it,
 * and service by the stored records while no leader is reachable.
 *
 * <p>May change jobs only through {@code state}; it never places tasks or commands workers.
 */
package org.dewreach.request;
