/**
 * Users' requests about jobs: parsing, concurrency limits, handling on the leader, forwarding to
 * the leader, and handling from stored records while no leader is reachable.
 *
 * <p>Owns the requests that have no response yet, and the reasons for which users are told to
 * retry. Changes jobs only through {@code state} and, for jobs that no leader has imported yet,
 * through {@code store}; it never places tasks or sends commands to workers. Responses are {@code
 * wire.UserResponse}, which the controller encodes.
 *
 * <p>Not thread-safe; runs on the controller's event loop.
 */
package org.dewreach.request;
